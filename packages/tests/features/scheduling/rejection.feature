Feature: Rejection of infeasible work, deadlines and cancellation
  Guards against infeasible work that waits forever, against work that is rejected too early
  while endpoints are still announcing themselves, and against slow bulk cancellation.

  Background:
    Given a scheduler with a rule that grants the works "curves index"
    And the scheduler has the teams
      | name  | tasks |
      | ionia |       |
      | volos | 3     |
    And the scheduler has the endpoints
      | id | cores | gib | works  |
      | w1 | 8     | 16  | curves |
      | w2 | 4     | 16  | curves |

  Scenario Outline: <id> work is rejected with its reason
    When the scheduler enqueues the units
      | id   | team   | kind   | work   | cores   | tasks   | excluded   |
      | <id> | <team> | <kind> | <work> | <cores> | <tasks> | <excluded> |
    And the scheduler runs cycles for 11000 ms
    Then unit <id> was rejected as impossible because "<reason>"

    Examples:
      | id        | team  | kind  | work   | cores | tasks | excluded | reason                              |
      | ungranted | ionia | batch | paint  | 1     | 1     |          | no endpoint rule grants paint       |
      | large     | ionia | batch | curves | 9     | 1     |          | larger than every endpoint          |
      | limited   | volos | gang  | curves | 1     | 4     |          | larger than the upper limit of team |
      | gang      | ionia | gang  | curves | 4     | 4     |          | larger than the fleet, which fits 3 |
      | excluded  | ionia | batch | curves | 1     | 1     | w1 w2    | all 2 endpoints .* are excluded     |
      | stranger  | nemo  | batch | curves | 1     | 1     |          | team nemo is not configured         |

  Scenario: Work that needs a larger endpoint is not rejected during the grace period
    When the scheduler enqueues the units
      | id    | team  | cores |
      | large | ionia | 9     |
    And the scheduler runs cycles for 9000 ms
    And the scheduler has the endpoints
      | id | cores | gib | works  |
      | w3 | 16    | 16  | curves |
    And the scheduler runs cycles for 9000 ms
    Then unit large runs on "w3"
    And no unit was rejected

  Scenario: Work that fitted an endpoint before it shrank waits until it grows again
    When the scheduler runs cycles for 11000 ms
    And the scheduler has the endpoints
      | id | cores | gib | works  |
      | w1 | 2     | 16  | curves |
    And the scheduler enqueues the units
      | id    | team  | cores |
      | large | ionia | 8     |
    And the scheduler runs cycles for 11000 ms
    Then no unit was rejected
    When the scheduler has the endpoints
      | id | cores | gib | works  |
      | w1 | 8     | 16  | curves |
    And the scheduler runs cycles for 1000 ms
    Then unit large runs on "w1"

  Scenario: Granted work that no endpoint offers waits until its deadline
    When the scheduler enqueues the units
      | id    | team  | work  | cores | deadline |
      | await | ionia | index | 1     | 60000    |
    And the scheduler runs cycles for 59000 ms
    Then no unit was rejected
    When the scheduler runs cycles for 1000 ms
    Then unit await was rejected as deadline-exceeded because "not placed before its deadline"

  Scenario: 10000 cancellations take little processor time
    When the scheduler enqueues the units
      | id | team  | cores | count |
      | b  | ionia | 8     | 10001 |
    And the scheduler runs a cycle
    And 10000 units from b2 on are cancelled within 200 ms of processor time
    And the scheduler runs a cycle
    Then the units placed so far are "b1"
    And the placement checker has reported no fault
