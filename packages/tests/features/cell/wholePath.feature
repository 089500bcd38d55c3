@processes
Feature: The whole path in separate processes
  Guards against requests that are lost, doubled, cut or wrongly reported when the
  leader dies in the middle of a load, and against withdrawn keys that go on working.

  Scenario: a load survives the loss of the leader, and a withdrawn key is refused everywhere
    Given a cell of 9 daemons of which 3 have a disk
    And 10 stand-in runners
    When two teams send 1000 requests through all instances, every 2th not to be repeated
    And the leader is killed after 400 answers
    And all requests have ended
    Then every request through a living instance was answered whole
    And the history shows no violation
    When release note 2 withdraws the key of the utilities
    Then every living instance refuses that key within 5 s
