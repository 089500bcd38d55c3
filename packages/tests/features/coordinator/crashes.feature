Feature: Work that crashes its endpoints
  Guards against a task or request that is started on one endpoint after another and crashes each of
  them, and against innocent work that fails because it was on the same endpoints.

  Scenario: attempts that are lost in crashes of endpoints are counted
    Given a cell with 3 endpoints
    And a service "steady"
    When the endpoint of "steady" crashes 2 times after 40 s of work
    Then 2 attempts are counted as lost in crashes

  Scenario: attempts that end in a planned restart of their endpoint are not counted
    Given a cell with 3 endpoints
    And a service "steady"
    When the endpoint of "steady" leaves and restarts 2 times soon after its start
    Then the work "steady" was started 3 times
    And 0 attempts are counted as lost in crashes

  Scenario: a service that had worked for a while is not taken as the cause of a crash
    Given a cell with 3 endpoints
    And a service "steady"
    When the endpoint of "steady" crashes 4 times after 40 s of work
    Then the job "steady" is "running"

  Scenario: a planned restart of an endpoint is no crash
    Given a cell with 3 endpoints
    And a service "steady"
    When the endpoint of "steady" leaves and restarts 4 times soon after its start
    Then the job "steady" is "running"

  Scenario: an endpoint that reports on its attempts after a partition has not crashed
    Given a cell with 3 endpoints
    And a service "steady"
    When the endpoint of "steady" is partitioned until its lease expires 4 times
    Then the job "steady" is "running"
