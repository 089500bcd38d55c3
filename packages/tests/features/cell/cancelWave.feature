@processes
Feature: A wave of cancellations
  Guards against a wave of cancellations that is lost in part or that stops the requests of others.

  Scenario: 10,000 waiting jobs are cancelled while another team's requests go on
    Given a cell of 3 daemons of which 3 have a disk
    And 1 stand-in workers
    And 2 stand-in runners
    And 10000 accepted jobs of which one runs
    When the laboratories send requests until told to stop
    And all accepted jobs are cancelled in one call
    Then all accepted jobs are cancelled within 10 s
    When the load is told to stop
    Then every request through a living instance was answered whole
    And no request waited longer than 2000 ms
    And the history shows no violation
