Feature: Size estimates and overuse
  Guards against inaccurate declared sizes: too large ones waste capacity, too small ones
  overcommit an endpoint.

  Background:
    Given a scheduler with a rule that grants the works "curves index"
    And the scheduler has the teams
      | name  |
      | ionia |
    And the scheduler has the endpoints
      | id | cores | gib |
      | w1 | 16    | 64  |

  Scenario: Reservations follow observed peaks after enough samples
    When the scheduler enqueues the units
      | id | team  | cores | gib | count |
      | b  | ionia | 2     | 2   | 8     |
    And the scheduler runs a cycle
    And scheduled units b1 to b8 report 1 cores and 1 GiB
    And scheduled units b1 to b8 end as succeeded
    And the scheduler enqueues the units
      | id   | team  | cores | gib |
      | next | ionia | 2     | 2   |
    And the scheduler runs a cycle
    Then unit next reserves 1.1 cores

  Scenario: A reservation grows to the observed usage and prevents further placements
    When the scheduler enqueues the units
      | id | team  | cores | gib |
      | b  | ionia | 4     | 2   |
    And the scheduler runs a cycle
    And scheduled unit b reports 20 cores and 2 GiB
    And the scheduler enqueues the units
      | id | team  | cores | gib |
      | c  | ionia | 1     | 1   |
    And the scheduler runs a cycle
    Then 0 tasks of unit c run
    And the placement checker has reported no fault

  Scenario: Overuse leads to throttle, checkpoint and stop at intervals
    When the scheduler enqueues the units
      | id   | team  | cores | gib | priority |
      | low  | ionia | 4     | 2   | 10       |
      | high | ionia | 4     | 2   | 100      |
    And the scheduler runs a cycle
    And scheduled unit high reports 16 cores and 2 GiB
    And scheduled unit low reports 4 cores and 2 GiB
    And the scheduler runs cycles for 3000 ms
    Then the preemption orders so far are "throttle low"
    When the scheduler runs cycles for 6000 ms
    Then the preemption orders so far are "throttle low, checkpoint low, stop low"

  Scenario: No further step follows once overuse has ended
    When the scheduler enqueues the units
      | id  | team  | cores | gib |
      | low | ionia | 4     | 2   |
    And the scheduler runs a cycle
    And scheduled unit low reports 18 cores and 2 GiB
    And the scheduler runs cycles for 1000 ms
    And scheduled unit low reports 4 cores and 2 GiB
    And the scheduler runs cycles for 20000 ms
    Then the preemption orders so far are "throttle low"

  Scenario: An endpoint that announces a size below its reservations gets no new work
    When the scheduler enqueues the units
      | id | team  | cores | gib |
      | b  | ionia | 8     | 2   |
    And the scheduler runs a cycle
    And the scheduler has the endpoints
      | id | cores | gib |
      | w1 | 6     | 64  |
    And the scheduler enqueues the units
      | id | team  | cores | gib |
      | c  | ionia | 0     | 1   |
    And the scheduler runs a cycle
    Then 0 tasks of unit c run
    When scheduled unit b ends as succeeded
    And the scheduler runs a cycle
    Then 1 tasks of unit c run
