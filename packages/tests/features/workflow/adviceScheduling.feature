Feature: Advisor queries are sent for what can start, the most urgent first
  Guards against instances that are occupied by queries whose answers cannot be used.

  Background:
    Given a workflow leader

  # Guards against queries whose answers expire unused because the organisation is at its limit.
  Scenario: an organisation at its limit: nothing is queried until one of its runs ends
    Given an advisor that takes 100 ms and 1 ms per endpoint, queried by 4 instances
    And 10 workers of 4 cores
    And the organisation is limited to 8 cores
    When a job "a" of 8 tasks of 3000 ms is submitted
    And 600 ms of workflow time pass
    And a job "b" of 8 tasks of 3000 ms is submitted
    And 1500 ms of workflow time pass
    Then no query was sent for job "b"
    When 2500 ms of workflow time pass
    Then a query for job "b" was sent within 20 ms of the first end of job "a"
    And job "b" has 8 runs

  # Guards against queries for more endpoints than the rest of a limit can use.
  Scenario: an organisation close to its limit: a query is for the tasks that the limit admits
    Given an advisor that takes 100 ms and 10 ms per endpoint, queried by 4 instances
    And 60 workers of 1 cores
    And the organisation is limited to 2 cores
    When a job "a" of 50 tasks of 3000 ms is submitted
    And 600 ms of workflow time pass
    Then no query named more than 12 endpoints
