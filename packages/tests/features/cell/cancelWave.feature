@processes
Feature: Bulk cancellation
  Guards against a bulk cancellation that is partly lost or that blocks the requests of other teams.

  Scenario: 10,000 waiting jobs are cancelled while another team sends requests
    Given a cell of 3 daemons of which 3 have a disk
    And 1 stand-in workers
    And 2 stand-in runners
    And 10000 accepted jobs of which one runs
    When the laboratories send requests until stopped
    And all accepted jobs are cancelled in one call
    Then all accepted jobs are cancelled within 10 s
    When the load is stopped
    Then every request through an available instance got a complete response
    And no request took longer than 2000 ms
    And the history shows no violation
