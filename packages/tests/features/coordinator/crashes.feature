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

  # Guards against a second run of a task whose endpoint is cut off while another takes its id.
  Scenario Outline: attempts of a partitioned endpoint whose id is announced elsewhere keep their lease
    Given a cell with 3 endpoints
    And a service "steady"
    When the endpoint of "steady" <event> and its id is announced at another URL
    And 1 s pass in the cell
    Then the work "steady" was started 1 times
    When 30 s pass in the cell
    Then the work "steady" was started 2 times

    Examples:
      | event                                |
      | leaves behind a partition            |
      | is partitioned until it seems silent |

  Scenario: a batch task that crashes each endpoint is not started a third time
    Given a cell with 5 endpoints
    When a batch job "deadly" with 1 task is submitted
    And 120 s pass in the cell
    Then the work "deadly" was started 2 times
    And the job "deadly" has failed with a message that names its crashed endpoints

  Scenario: a service that crashes each endpoint is not started a third time
    Given a cell with 5 endpoints
    When a service job "deadly" with 1 task is submitted
    And 120 s pass in the cell
    Then the work "deadly" was started 2 times
    And the job "deadly" has failed with a message that names its crashed endpoints

  Scenario: a gang that crashes its endpoints counts one crash for each of its runs
    Given a cell with 5 endpoints
    When a gang job "deadly" with 2 tasks is submitted
    And 120 s pass in the cell
    Then the work "deadly" was started 4 times
    And the job "deadly" has failed with a message that names its crashed endpoints

  Scenario: a task whose crashed endpoints stay away is started at most three times
    Given a cell with 5 endpoints
    And a crashed endpoint is back after 30 s
    When a batch job "deadly" with 1 task is submitted
    And 120 s pass in the cell
    Then the work "deadly" was started at most 3 times
    And the job "deadly" has failed with a message that names its crashed endpoints

  Scenario: a new leader knows the crashes of a task
    Given a cell with 5 endpoints and 3 replicas
    When a batch job "deadly" with 1 task is submitted
    And 7 s pass in the cell
    And the leader of the cell fails
    And 120 s pass in the cell
    Then the work "deadly" was started at most 3 times
    And the job "deadly" has failed with a message that names its crashed endpoints

  Scenario: a request whose endpoints crash is refused after two of them
    Given a cell with 5 endpoints
    And a crashed endpoint is back after 1 s
    When a request "deadly" is sent
    And 60 s pass in the cell
    Then the work "deadly" was started 2 times
    And the request is refused with "answer-lost" and run state "unknown"

  Scenario: a request whose endpoints are back at once has a bounded number of attempts
    Given a cell with 5 endpoints
    When a request "deadly" is sent
    And 60 s pass in the cell
    Then the work "deadly" was started at most 3 times
    And the request is refused with "answer-lost" and run state "unknown"

  Scenario: batch jobs that start beside a task that crashes each endpoint succeed
    Given a cell with 2 endpoints
    And 4 batch jobs that run for 8 s
    When a batch job "deadly" with 1 task is submitted
    And 300 s pass in the cell
    Then the work "deadly" was started at most 3 times
    And the job "deadly" is "failed"
    And all 4 batch jobs have succeeded

  Scenario: a batch job of many tasks that crash their endpoints stops with the first that fails
    Given a cell with 5 endpoints
    When a batch job "deadly" with 100 tasks is submitted
    And 300 s pass in the cell
    Then the work "deadly" was started at most 30 times
    And the job "deadly" is "failed"

  Scenario: a batch job whose tasks do not crash their endpoints soon runs at full speed again
    Given a cell with 5 endpoints
    And a batch job "steady" with 40 tasks that run for 2 s
    When the endpoint of "steady" crashes soon after its start
    And 25 s pass in the cell
    Then the job "steady" is "succeeded"

  Scenario: an endpoint with a suspect gets no other work until the suspect has worked for a while
    Given a cell with 2 endpoints
    And a service "steady"
    When the endpoint of "steady" crashes soon after its start
    And 4 batch jobs that run for 8 s
    And 5 s pass in the cell
    Then the endpoint of "steady" runs no batch job
    And the endpoint of "steady" is listed as reserved
    When 40 s pass in the cell
    And 12 batch jobs that run for 60 s
    And 5 s pass in the cell
    Then the endpoint of "steady" runs batch jobs
    And the endpoint of "steady" is listed as not reserved

  Scenario: work that started just before all endpoints lost power is started again within a minute
    Given a cell with 5 endpoints
    And 6 batch jobs that run for 20 s
    When all endpoints crash at the same moment
    And 75 s pass in the cell
    Then each of the 6 batch jobs was started 2 times
    When 30 s pass in the cell
    Then all 6 batch jobs have succeeded

  Scenario: services that lost all endpoints to two power losses are started again
    Given a cell with 5 endpoints
    And a service "first"
    And a service "second"
    And a service "third"
    When all endpoints crash at the same moment
    And 15 s pass in the cell
    And all endpoints crash at the same moment
    And 70 s pass in the cell
    Then the job "first" is "running"
    And the job "second" is "running"
    And the job "third" is "running"

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
