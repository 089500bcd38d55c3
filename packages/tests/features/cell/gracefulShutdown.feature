@processes
Feature: Graceful shutdown of every instance
  Guards against requests that a planned shutdown interrupts or refuses, and against an
  instance that does not become ready after its restart.

  Scenario: nine instances are stopped in turn under load
    Given a cell of 9 daemons of which 3 have a disk
    And 6 stand-in runners
    When a load balancer sends requests to ready instances until stopped
    And each instance in turn is stopped gracefully and restarted
    And the load is stopped
    Then every request through an available instance got a complete response
    And the history shows no violation
