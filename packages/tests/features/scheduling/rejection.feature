Feature: Work that can never run, deadlines and cancellation
  Guards against hopeless work that waits for ever, against work that is given up too early
  while endpoints are still announcing themselves, and against slow waves of cancellations.

  Background:
    Given a scheduler that grants the works "curves index"
    And the scheduler knows the teams
      | name  | tasks |
      | ionia |       |
      | volos | 3     |
    And the scheduler knows the endpoints
      | id | cores | gib | works  |
      | w1 | 8     | 16  | curves |
      | w2 | 4     | 16  | curves |

  Scenario Outline: <id> work is rejected with its reason
    When the scheduler is given the units
      | id   | team   | kind   | work   | cores   | tasks   | excluded   |
      | <id> | <team> | <kind> | <work> | <cores> | <tasks> | <excluded> |
    And the scheduler decides for 11000 ms
    Then unit <id> was rejected as impossible because "<reason>"

    Examples:
      | id        | team  | kind  | work   | cores | tasks | excluded | reason                              |
      | ungranted | ionia | batch | paint  | 1     | 1     |          | no endpoint rule grants paint       |
      | large     | ionia | batch | curves | 9     | 1     |          | larger than every endpoint          |
      | limited   | volos | gang  | curves | 1     | 4     |          | larger than the upper limit of team |
      | gang      | ionia | gang  | curves | 4     | 4     |          | larger than the fleet, which fits 3 |
      | excluded  | ionia | batch | curves | 1     | 1     | w1 w2    | all 2 endpoints .* are excluded     |
      | stranger  | nemo  | batch | curves | 1     | 1     |          | team nemo is not configured         |

  Scenario: During the grace period a larger endpoint may still come
    When the scheduler is given the units
      | id    | team  | cores |
      | large | ionia | 9     |
    And the scheduler decides for 9000 ms
    And the scheduler knows the endpoints
      | id | cores | gib | works  |
      | w3 | 16    | 16  | curves |
    And the scheduler decides for 9000 ms
    Then unit large runs on "w3"
    And no unit was rejected

  Scenario: Granted work that no endpoint offers yet waits until its deadline
    When the scheduler is given the units
      | id    | team  | work  | cores | deadline |
      | await | ionia | index | 1     | 60000    |
    And the scheduler decides for 59000 ms
    Then no unit was rejected
    When the scheduler decides for 1000 ms
    Then unit await was rejected as deadline-exceeded because "not placed before its deadline"

  Scenario: A wave of 10000 cancellations is cheap
    When the scheduler is given the units
      | id | team  | cores | count |
      | b  | ionia | 8     | 10001 |
    And the scheduler decides
    And 10000 units from b2 on are cancelled within 200 ms of processor time
    And the scheduler decides
    Then the units placed so far are "b1"
    And the placement checker agrees
