@processes
Feature: Frozen and silently cut off instances
  Guards against work that a leader dispatches on beliefs from before it was frozen, and
  against an instance that serves callers, or takes a withdrawn key, while it is cut off.

  Scenario: a frozen leader and an instance cut off in silence
    Given a cell of 4 daemons of which 3 have a disk, connected through relays
    And 4 stand-in runners
    And 2 stand-in workers
    When the laboratories send requests until told to stop
    And jobs that must not be repeated are submitted until told to stop
    And the leader is frozen for 3000 ms and continued
    And the load is told to stop
    Then every request through an instance that was not frozen was answered whole
    And each accepted job has ended and no task was started twice
    And the history shows no violation
    When instance-4 is cut off in silence
    And release note 2 withdraws the key of the utilities
    Then the cut off instance is not ready within 2500 ms
    And every instance refuses that key within 5 s
    When the cut off instance is connected again
    Then it is ready within 15 s and refuses the withdrawn key as unknown
    When the leader is cut off in silence
    Then the cut off instance is not ready within 2500 ms
    And another instance leads
    When the cut off instance is connected again
    Then it is ready within 15 s and refuses the withdrawn key as unknown
