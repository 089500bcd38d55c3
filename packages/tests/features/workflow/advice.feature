Feature: Queries to the advisor under load
  Guards against service tasks that stay down although endpoints have capacity for them.

  Background:
    Given a workflow leader

  # Guards against queries about endpoints at the step's limit, which the step cannot use.
  Scenario: a service on most endpoints: a lost task starts on an endpoint without one of its tasks
    Given an advisor that takes 450 ms and 6.5 ms per endpoint, queried by 3 instances
    And 80 workers of 8 cores
    When service "s" of 50 tasks with at most 1 per worker is submitted
    And 5000 ms of workflow time pass
    Then service "s" runs 50 tasks
    When worker w5 fails for good
    And 14000 ms of workflow time pass
    Then service "s" runs 50 tasks

  # Guards against queries of a service that starve behind urgent ones which arrive faster than the advisor answers.
  Scenario: urgent queries refill the queue: a service still gets its tickets, and urgent work most of the time
    When 40 urgent steps query for 20 ms calls without pause and 10 other steps for 500 ms calls
    And 8 instances send the queries for 10 s
    Then no query waited longer than 4000 ms
    And urgent queries got between 60 % and 75 % of the call time

  Scenario: queries of one priority alone get all instances
    When 0 urgent steps query for 20 ms calls without pause and 10 other steps for 500 ms calls
    And 8 instances send the queries for 10 s
    Then no query waited longer than 1000 ms

  # Guards against calls that are repeated for ever because an overloaded leader reads their reports late.
  Scenario: reports that arrive after their deadline are used
    Given an advisor that takes 100 ms and 1 ms per endpoint, queried by 1 instances
    And reports to the leader are delayed by 400 ms
    And 2 workers of 4 cores
    When job "j" of 2 tasks is submitted
    And 1500 ms of workflow time pass
    Then job "j" is "completed"

  # Guards against tickets of one step that are recorded for another after a change of leader.
  Scenario: a report for a query of the previous leader is ignored
    Given an advisor that takes 100 ms and 1 ms per endpoint, queried by 0 instances
    And 2 workers of 4 cores
    And an instance that polls for a query
    When job "j" of 2 tasks is submitted
    And the workflow leader changes
    And 1 instances query the advisor for the new leader
    And the instance reports that its query found no suitable endpoint
    And 1500 ms of workflow time pass
    Then job "j" is "completed"

  # Guards against steps that all query the same endpoints, so that most tickets are for full ones.
  Scenario: many steps query at once: their queries are spread over the endpoints
    Given an advisor that takes 450 ms and 6.5 ms per endpoint, queried by 10 instances
    And 40 workers of 4 cores
    When 10 jobs of 16 tasks of 60000 ms are submitted at once
    And 1000 ms of workflow time pass
    Then at least 150 runs were started

  # Guards against urgent steps that wait for the deadline of a query whose instance never got it.
  Scenario: an instance that polls again gets the query that a reset connection has lost
    Given an advisor that takes 100 ms and 1 ms per endpoint, queried by 0 instances
    And 2 workers of 4 cores
    And an instance that polls for a query
    When job "j" of 2 tasks is submitted
    And the instance polls again, as a reset connection has lost the response
    Then the instance gets a query at once

  # Guards against answers of the advisor that are dropped because the leader is out of reach for a moment.
  Scenario: a report that could not be delivered is sent again
    When an instance has a report, and the leader does not respond to its first 2 calls
    Then the leader receives the report once

  # Guards against an instance that sends no queries any more after one unexpected error.
  Scenario: an instance goes on after a query that fails unexpectedly
    When the query of an instance fails unexpectedly
    Then the instance polls for the next query
