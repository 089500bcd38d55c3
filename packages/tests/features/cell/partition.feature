@processes
Feature: Suspended and silently partitioned instances
  Guards against work that a resumed leader dispatches from state that became stale while its
  process was suspended, and against an instance that serves callers, or accepts a withdrawn
  key, while a partition drops its traffic without closing connections.

  Scenario: a suspended leader and a silently partitioned instance
    Given a cell of 4 daemons of which 3 have a disk, connected through relays
    And 4 stand-in runners
    And 2 stand-in workers
    When the laboratories send requests until stopped
    And jobs that must not be repeated are submitted until stopped
    And the leader is suspended for 3000 ms and resumed
    And the load is stopped
    Then every request through an instance that was not suspended got a complete response
    And each accepted job has ended and no task was started twice
    And the history shows no violation
    When instance-4 is silently partitioned
    And release note 2 withdraws the key of the utilities
    Then the partitioned instance is not ready within 2500 ms
    And every instance refuses that key within 5 s
    When the partitioned instance is reconnected
    Then it is ready within 15 s and refuses the withdrawn key as unknown
    When the leader is silently partitioned
    Then the partitioned instance is not ready within 2500 ms
    And another instance becomes the leader
    When the partitioned instance is reconnected
    Then it is ready within 15 s and refuses the withdrawn key as unknown
