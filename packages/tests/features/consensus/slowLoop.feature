Feature: Leadership on a busy event loop
  A message that waits for further iterations of the event loop before it is written uses up the
  validity of the leader, exactly while the leader has most to do.

  Scenario: a leader stays valid while its event loop is busy
    Given a valid leader of 3 replicas that are connected over TCP
    When each iteration of the event loop takes 65 ms
    Then the leader is valid at every moment of 1500 ms

  Scenario: a leader stays valid while its event loop is very busy
    Given a valid leader of 3 replicas that are connected over TCP
    When each iteration of the event loop takes 95 ms
    Then the leader is valid at every moment of 1500 ms
