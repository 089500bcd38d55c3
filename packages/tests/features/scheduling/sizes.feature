Feature: Learned sizes and overuse
  Guards against declared sizes that are far off: too large wastes the cluster, too small
  overcommits an endpoint.

  Background:
    Given a scheduler that grants the works "curves index"
    And the scheduler knows the teams
      | name  |
      | ionia |
    And the scheduler knows the endpoints
      | id | cores | gib |
      | w1 | 16    | 64  |

  Scenario: Reservations follow observed peaks once enough attempts were seen
    When the scheduler is given the units
      | id | team  | cores | gib | count |
      | b  | ionia | 2     | 2   | 8     |
    And the scheduler decides
    And scheduled units b1 to b8 report 1 cores and 1 GiB
    And scheduled units b1 to b8 end as succeeded
    And the scheduler is given the units
      | id   | team  | cores | gib |
      | next | ionia | 2     | 2   |
    And the scheduler decides
    Then unit next reserves 1.1 cores

  Scenario: A reservation grows with what is observed and keeps other work away
    When the scheduler is given the units
      | id | team  | cores | gib |
      | b  | ionia | 4     | 2   |
    And the scheduler decides
    And scheduled unit b reports 20 cores and 2 GiB
    And the scheduler is given the units
      | id | team  | cores | gib |
      | c  | ionia | 1     | 1   |
    And the scheduler decides
    Then 0 tasks of unit c run
    And the placement checker agrees

  Scenario: Overuse is answered by throttle, checkpoint and stop with pauses
    When the scheduler is given the units
      | id   | team  | cores | gib | priority |
      | low  | ionia | 4     | 2   | 10       |
      | high | ionia | 4     | 2   | 100      |
    And the scheduler decides
    And scheduled unit high reports 16 cores and 2 GiB
    And scheduled unit low reports 4 cores and 2 GiB
    And the scheduler decides for 3000 ms
    Then the orders so far are "throttle low"
    When the scheduler decides for 6000 ms
    Then the orders so far are "throttle low, checkpoint low, stop low"

  Scenario: Overuse that ends is not answered further
    When the scheduler is given the units
      | id  | team  | cores | gib |
      | low | ionia | 4     | 2   |
    And the scheduler decides
    And scheduled unit low reports 18 cores and 2 GiB
    And the scheduler decides for 1000 ms
    And scheduled unit low reports 4 cores and 2 GiB
    And the scheduler decides for 20000 ms
    Then the orders so far are "throttle low"

  Scenario: An endpoint that announces less than is reserved gets no new work
    When the scheduler is given the units
      | id | team  | cores | gib |
      | b  | ionia | 8     | 2   |
    And the scheduler decides
    And the scheduler knows the endpoints
      | id | cores | gib |
      | w1 | 6     | 64  |
    And the scheduler is given the units
      | id | team  | cores | gib |
      | c  | ionia | 0     | 1   |
    And the scheduler decides
    Then 0 tasks of unit c run
    When scheduled unit b ends as succeeded
    And the scheduler decides
    Then 1 tasks of unit c run
