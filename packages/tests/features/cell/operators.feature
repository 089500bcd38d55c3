@processes
Feature: Operators who race each other
  Guards against two contents under one number, and against an accepted release note
  that is lost or replaced when the leader dies while operators race and send again.

  Scenario: two operators race with equal numbers while leaders are killed
    Given a cell of 4 daemons of which 3 have a disk
    When two operators race over 30 numbers and the leader is killed at numbers 10 and 20
    Then each number was won by exactly one content
    And every instance has the winning configuration
    And each note that is sent again gets the same answer
