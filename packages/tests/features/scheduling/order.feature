Feature: Order of waiting work
  Guards against teams that starve behind other teams and units that block all later ones.

  Background:
    Given a scheduler with a rule that grants the works "curves index preview"
    And the scheduler has the teams
      | name  | share | tasks |
      | ionia | 1     |       |
      | arta  | 3     |       |
      | volos | 1     | 2     |

  Scenario: Units are placed by priority class, then by arrival
    Given the scheduler has the endpoints
      | id | cores | gib |
      | w1 | 3     | 9   |
    When the scheduler enqueues the units
      | id    | team  | cores | priority |
      | low   | ionia | 1     | 10       |
      | early | ionia | 1     | 100      |
      | late  | ionia | 1     | 100      |
      | top   | ionia | 1     | 500      |
    And the scheduler runs a cycle
    Then the units placed so far are "top early late"

  Scenario: A full cluster is divided between teams by weight
    Given the scheduler has the endpoints
      | id | cores | gib | count |
      | w  | 10    | 40  | 2     |
    When the scheduler enqueues the units
      | id | team  | cores | count |
      | i  | ionia | 1     | 50    |
      | a  | arta  | 1     | 50    |
    And the scheduler runs a cycle
    Then team ionia runs 5 tasks
    And team arta runs 15 tasks

  Scenario: A team with high recent usage is served after one without
    Given the scheduler has the endpoints
      | id | cores | gib |
      | w1 | 1     | 9   |
    When the scheduler enqueues the units
      | id | team  | cores |
      | i1 | ionia | 1     |
    And the scheduler runs a cycle
    And 600000 ms pass for the scheduler
    And the scheduler enqueues the units
      | id | team  | cores |
      | i2 | ionia | 1     |
      | v1 | volos | 1     |
    And scheduled unit i1 ends as succeeded
    And the scheduler runs a cycle
    Then the units placed so far are "i1 v1"

  Scenario: A team at its upper limit does not block other teams
    Given the scheduler has the endpoints
      | id | cores | gib |
      | w1 | 10    | 40  |
    When the scheduler enqueues the units
      | id | team  | cores | count |
      | v  | volos | 1     | 4     |
      | i  | ionia | 1     | 2     |
    And the scheduler runs a cycle
    Then team volos runs 2 tasks
    And team ionia runs 2 tasks
    When scheduled unit v1 ends as succeeded
    And the scheduler runs a cycle
    Then unit v3 runs on "w1"
    And the placement checker has reported no fault

  Scenario: A unit that fits nowhere at present does not block later units
    Given the scheduler has the endpoints
      | id | cores | gib |
      | w1 | 10    | 40  |
    When the scheduler enqueues the units
      | id   | team  | cores | count |
      | run  | ionia | 4     |       |
      | big  | ionia | 8     |       |
      | tiny | ionia | 1     |       |
    And the scheduler runs a cycle
    Then the units placed so far are "run tiny"

  Scenario: A request is placed in the next scheduling cycle despite 10000 waiting batch units
    Given the scheduler has the endpoints
      | id | kind   | cores | gib | slots | works   | count |
      | w  | worker | 2000  | 999 |       | curves  | 10    |
      | r  | runner |       |     | 8     | preview | 2     |
    When the scheduler enqueues the units
      | id | team  | cores | count |
      | b  | ionia | 1     | 10000 |
    And the scheduler runs a cycle with at most 100 placements
    And the scheduler enqueues the units
      | id | team  | kind    | work    | slots |
      | q  | ionia | request | preview | 1     |
    And the scheduler runs a cycle with at most 100 placements
    Then 1 tasks of unit q run

  Scenario: A task is not placed before its earlier attempt has been released
    Given the scheduler has the endpoints
      | id | cores | gib |
      | w1 | 10    | 40  |
    When the scheduler enqueues the units
      | id | team  | cores |
      | i1 | ionia | 1     |
    And the scheduler runs a cycle
    And the scheduler enqueues the units
      | id | team  | cores |
      | i1 | ionia | 1     |
      | i2 | ionia | 1     |
    And the scheduler runs a cycle
    Then 1 tasks of unit i1 run
    And 1 tasks of unit i2 run
    When scheduled unit i1 ends as lost
    And the scheduler runs a cycle
    Then 1 tasks of unit i1 run
    And the placement checker has reported no fault
