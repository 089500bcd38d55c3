Feature: Preemption
  Guards against urgent work and teams under their share that starve while other teams use
  lent capacity, and against the preemption of more attempts than needed.

  Background:
    Given a scheduler with a rule that grants the works "curves"
    And the scheduler has the teams
      | name  | tasks |
      | ionia |       |
      | arta  |       |
      | volos | 3     |

  Scenario: Urgent work preempts one attempt, by checkpoint before stop, and is placed in its stead
    Given the scheduler has the endpoints
      | id | cores | gib |
      | w1 | 4     | 16  |
    When the scheduler enqueues the units
      | id | team  | kind    | cores | count |
      | s  | ionia | service | 1     | 2     |
      | b  | ionia | batch   | 1     | 2     |
    And the scheduler runs a cycle
    And the scheduler enqueues the units
      | id  | team | cores | priority |
      | now | arta | 1     | 950      |
    And the scheduler runs a cycle
    Then the preemption orders so far are "checkpoint b2"
    When the scheduler runs cycles for 700 ms
    Then the preemption orders so far are "checkpoint b2, stop b2"
    When the scheduler enqueues the units
      | id    | team  | cores | priority |
      | other | ionia | 1     | 500      |
    And scheduled unit b2 ends as stopped
    And the scheduler runs a cycle
    Then unit now runs on "w1"
    And 0 tasks of unit other run

  Scenario: A checkpoint that succeeds is not followed by a stop
    Given the scheduler has the endpoints
      | id | cores | gib |
      | w1 | 1     | 16  |
    When the scheduler enqueues the units
      | id | team  | cores |
      | b  | ionia | 1     |
    And the scheduler runs a cycle
    And the scheduler enqueues the units
      | id  | team | cores | priority |
      | now | arta | 1     | 950      |
    And the scheduler runs a cycle
    And scheduled unit b ends as checkpointed
    And the scheduler runs cycles for 5000 ms
    Then the preemption orders so far are "checkpoint b"
    And unit now runs on "w1"

  Scenario: A service is throttled before it is stopped if only processor time is short
    Given the scheduler has the endpoints
      | id | cores | gib | can           |
      | w1 | 4     | 16  | throttle stop |
    When the scheduler enqueues the units
      | id | team  | kind    | cores |
      | s  | ionia | service | 4     |
    And the scheduler runs a cycle
    And the scheduler enqueues the units
      | id  | team | cores | priority |
      | now | arta | 1     | 950      |
    And the scheduler runs a cycle
    And scheduled unit s reports 2 cores and 0 GiB
    And the scheduler runs cycles for 2000 ms
    Then the preemption orders so far are "throttle s"
    And unit now runs on "w1"
    And the placement checker has reported no fault

  Scenario: A team under its share reclaims lent capacity up to its share
    Given the scheduler has the endpoints
      | id | cores | gib |
      | w1 | 8     | 16  |
    When the scheduler enqueues the units
      | id | team  | cores | count |
      | i  | ionia | 1     | 20    |
    And the scheduler runs a cycle
    And the scheduler enqueues the units
      | id | team | cores | count |
      | a  | arta | 1     | 20    |
    And the scheduler runs cycles for 2100 ms
    Then the preemption orders so far are "checkpoint i8, checkpoint i7, checkpoint i6, checkpoint i5"
    When scheduled unit i8 ends as checkpointed
    And scheduled unit i7 ends as checkpointed
    And scheduled unit i6 ends as checkpointed
    And scheduled unit i5 ends as checkpointed
    And the scheduler runs cycles for 20000 ms
    Then team ionia runs 4 tasks
    And team arta runs 4 tasks
    And the preemption orders so far are "checkpoint i8, checkpoint i7, checkpoint i6, checkpoint i5"

  Scenario: A lowered limit is enforced by checkpoint, then stop, lowest priority and newest first
    Given the scheduler has the endpoints
      | id | cores | gib |
      | w1 | 8     | 16  |
    When the scheduler enqueues the units
      | id | team  | cores | priority |
      | v1 | volos | 1     | 100      |
      | v2 | volos | 1     | 50       |
      | v3 | volos | 1     | 100      |
    And the scheduler runs a cycle
    And the scheduler has the teams
      | name  | tasks |
      | volos | 1     |
    And the scheduler runs a cycle
    Then the preemption orders so far are "checkpoint v2, checkpoint v3"
    When the scheduler runs cycles for 5100 ms
    Then the preemption orders so far are "checkpoint v2, checkpoint v3, stop v2, stop v3"
