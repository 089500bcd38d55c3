@processes
Feature: End-to-end requests through separate processes
  Guards against requests that are lost, duplicated, truncated or wrongly reported when the
  leader crashes under load, and against withdrawn keys that are still accepted.

  Scenario: a load survives the loss of the leader, and a withdrawn key is refused everywhere
    Given a cell of 9 daemons of which 3 have a disk
    And 10 stand-in runners
    When two teams send 1000 requests through all instances, every 2th not to be repeated
    And the leader is killed after 400 responses
    And all requests have ended
    Then every request through an available instance got a complete response
    And the history shows no violation
    When release note 2 withdraws the key of the utilities
    Then every available instance refuses that key within 5 s
