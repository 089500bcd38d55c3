@processes
Feature: Graceful shutdown of every instance
  Guards against requests that a planned stop cuts off or refuses, and against an
  instance that does not come back.

  Scenario: nine instances are stopped in turn under load
    Given a cell of 9 daemons of which 3 have a disk
    And 6 stand-in runners
    When a balancer sends requests to instances that are ready until told to stop
    And each instance in turn is stopped gracefully and started again
    And the load is told to stop
    Then every request through a living instance was answered whole
    And the history shows no violation
