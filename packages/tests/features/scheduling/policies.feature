Feature: Placement policies
  Guards against services that fail with a single rack, batch work that fragments the cluster,
  gangs that start in part, and requests that accumulate on slow runners.

  Background:
    Given a scheduler with a rule that grants the works "curves index preview plan"
    And the scheduler has the teams
      | name  |
      | ionia |
      | arta  |

  Scenario: Services are spread over data centres, then racks
    Given the scheduler has the endpoints
      | id | cores | gib | dc | rack |
      | a1 | 16    | 64  | a  | a1   |
      | a2 | 16    | 64  | a  | a2   |
      | a3 | 16    | 64  | a  | a2   |
      | b1 | 16    | 64  | b  | b1   |
      | b2 | 16    | 64  | b  | b1   |
    When the scheduler enqueues the units
      | id | team  | kind    | cores | tasks |
      | s  | ionia | service | 1     | 4     |
    And the scheduler runs a cycle
    Then unit s runs on "a1 a2 b1 b2"

  Scenario: Batch work fills one endpoint before it uses the next
    Given the scheduler has the endpoints
      | id | cores | gib | count |
      | w  | 8     | 64  | 4     |
    When the scheduler enqueues the units
      | id | team  | cores | count |
      | b  | ionia | 2     | 4     |
      | g  | ionia | 8     | 3     |
    And the scheduler runs a cycle
    Then team ionia runs 7 tasks

  Scenario: Endpoints with accelerators are left to work that needs them
    Given the scheduler has the endpoints
      | id | cores | gib | accelerators |
      | g1 | 4     | 16  | 2            |
      | w1 | 8     | 64  |              |
    When the scheduler enqueues the units
      | id | team  | cores | accelerators | count |
      | p  | ionia | 2     |              | 4     |
      | x  | ionia | 2     | 1            | 2     |
    And the scheduler runs a cycle
    Then unit p1 runs on "w1"
    And unit p4 runs on "w1"
    And unit x2 runs on "g1"

  Scenario: A gang starts with all its tasks or none
    Given the scheduler has the endpoints
      | id | cores | gib | count |
      | w  | 4     | 16  | 2     |
    When the scheduler enqueues the units
      | id | team  | kind  | cores | tasks |
      | b  | ionia | batch | 1     | 1     |
      | g  | ionia | gang  | 2     | 4     |
    And the scheduler runs a cycle
    Then 0 tasks of unit g run
    When scheduled unit b ends as succeeded
    And 100 ms pass for the scheduler
    And the scheduler runs a cycle
    Then 4 tasks of unit g run

  Scenario: Two gangs that each need most of the cluster do not deadlock
    Given the scheduler has the endpoints
      | id | cores | gib | count |
      | w  | 4     | 16  | 4     |
    When the scheduler enqueues the units
      | id | team  | kind | cores | tasks | count |
      | b  | ionia |      | 1     |       | 60    |
      | g  | arta  | gang | 4     | 3     | 1     |
      | h  | arta  | gang | 4     | 3     | 1     |
    And the scheduler runs cycles for 30000 ms while a running unit of ionia ends every 200 ms
    And scheduled unit g ends as succeeded
    And the scheduler runs cycles for 1000 ms
    Then 3 tasks of unit h run
    And the placement checker has reported no fault

  Scenario: A large task starts in bounded time despite a steady flow of small ones
    Given the scheduler has the endpoints
      | id | cores | gib | can  | count |
      | w  | 8     | 64  | stop | 2     |
    When the scheduler enqueues the units
      | id  | team  | cores | count |
      | s   | ionia | 1     | 400   |
    And the scheduler runs a cycle
    And the scheduler enqueues the units
      | id  | team  | cores |
      | big | ionia | 8     |
    And the scheduler runs cycles for 10000 ms while a running unit of ionia ends every 200 ms
    Then unit big has been placed
    And the placement checker has reported no fault

  Scenario: Requests go to faster runners first
    Given the scheduler has the endpoints
      | id   | kind   | slots | works   | speed |
      | slow | runner | 8     | preview | 0.5   |
      | fast | runner | 8     | preview | 2     |
    When the scheduler enqueues the units
      | id | team  | kind    | work    | slots | count |
      | q  | ionia | request | preview | 1     | 3     |
    And the scheduler runs a cycle
    Then each of "fast" runs 3 tasks

  Scenario: A runner that fails requests quickly does not attract more of them
    Given the scheduler has the endpoints
      | id | kind   | slots | works   |
      | r1 | runner | 8     | preview |
      | r2 | runner | 8     | preview |
    When the scheduler enqueues the units
      | id | team  | kind    | work    | slots | excluded |
      | q1 | ionia | request | preview | 1     | r2       |
    And the scheduler runs a cycle
    And scheduled unit q1 ends as failed
    And the scheduler enqueues the units
      | id | team  | kind    | work    | slots | excluded |
      | q2 | ionia | request | preview | 1     |          |
    And the scheduler runs a cycle
    Then unit q2 runs on "r2"
