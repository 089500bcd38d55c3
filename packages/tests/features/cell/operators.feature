@processes
Feature: Concurrent operators
  Guards against two contents under one number, and against an accepted release note that is
  lost or replaced when the leader crashes while operators send conflicting notes and retry.

  Scenario: two operators use the same numbers concurrently while leaders are killed
    Given a cell of 4 daemons of which 3 have a disk
    When two operators send conflicting notes for 30 numbers and the leader is killed at numbers 10 and 20
    Then each number was accepted with exactly one content
    And every instance has the accepted configuration
    And each note that is resent gets the same response
