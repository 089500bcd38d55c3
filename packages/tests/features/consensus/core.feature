Feature: Votes of a restarted Raft replica
  A replica may have acknowledged a leader just before it restarted; an early vote would elect a
  second leader while the first one is still valid.

  Scenario: a restarted voter waits one minimum election timeout
    Given a Raft core of replica "a/bootstrap" that starts at 0 ms
    When b asks the Raft core for its vote as "a/bootstrap" at 599 ms
    Then the Raft core "refuses" the vote
    When b asks the Raft core for its vote as "a/bootstrap" at 600 ms
    Then the Raft core "does not answer" the vote
    When the write of the Raft core completes
    Then the Raft core "grants" the vote

  Scenario: a message for an earlier replica of the instance is ignored
    Given a Raft core of replica "a/2" that starts at 0 ms
    When b asks the Raft core for its vote as "a/bootstrap" at 600 ms
    Then the Raft core "does not answer" the vote
