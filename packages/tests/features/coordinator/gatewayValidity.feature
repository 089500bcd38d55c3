@raft
Feature: Gateway validity granted by a leader that is cut off
  Guards against a gateway that serves callers, or accepts a withdrawn key, for longer than its
  validity after a partition, because its own leader kept extending it until leader validity ended.

  Scenario: a grant counts from the last confirmation of the leadership by a majority
    Given a Raft cluster of "a b c"
    And gateway sessions of the Raft leader with a validity of 2000 ms
    When Raft replica leader is isolated
    And the Raft clock advances by 400 ms
    And a gateway polls its sessions
    Then the gateway is granted validity for 1600 ms at most

  Scenario: a leader in contact with a majority grants nearly the whole validity
    Given a Raft cluster of "a b c"
    And gateway sessions of the Raft leader with a validity of 2000 ms
    When the Raft clock advances by 400 ms
    And a gateway polls its sessions
    Then the gateway is granted validity for 1850 ms at least
