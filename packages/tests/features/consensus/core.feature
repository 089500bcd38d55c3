Feature: Votes of a restarted Raft replica
  Guards against a second leader while the first one is still valid: a replica that acknowledged a
  leader just before it restarted must not vote too early.

  Scenario: a restarted voter refuses votes for one minimum election timeout
    Given a Raft core of replica "a/bootstrap" that starts at 0 ms
    When b requests the vote of the Raft core as "a/bootstrap" at 599 ms
    Then the Raft core "refuses" the vote
    When b requests the vote of the Raft core as "a/bootstrap" at 600 ms
    Then the Raft core "does not reply to" the vote
    When the write of the Raft core completes
    Then the Raft core "grants" the vote

  Scenario: the refusal of a restarted voter counts from the start of its process
    Given a Raft core of replica "a/bootstrap" that starts at 0 ms, 400 ms after its process
    When b requests the vote of the Raft core as "a/bootstrap" at 199 ms
    Then the Raft core "refuses" the vote
    When b requests the vote of the Raft core as "a/bootstrap" at 200 ms
    Then the Raft core "does not reply to" the vote
    When the write of the Raft core completes
    Then the Raft core "grants" the vote

  Scenario: a message for a previous replica id of the instance is ignored
    Given a Raft core of replica "a/2" that starts at 0 ms
    When b requests the vote of the Raft core as "a/bootstrap" at 600 ms
    Then the Raft core "does not reply to" the vote
