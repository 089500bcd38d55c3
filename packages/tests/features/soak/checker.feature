Feature: Soak history checker
  Guards against a soak that passes because its checker detects nothing: each guarantee is violated
  once.

  Background:
    Given a soak history with endpoints of 4 cores
    And soak job "a" with steps of 2 and 1 tasks of 2 cores is submitted

  Scenario: a job that runs correctly has no violations
    Given the response to soak job "a" is "accepted"
    When soak run "a.0.0.0:1" on "w1" ends "done"
    And soak run "a.0.0.1:1" on "w1" ends "done"
    And soak run "a.0.1.0:1" on "w2" ends "done"
    And soak job "a" is reported as "completed"
    Then the soak history has no violations

  Scenario: a task that runs twice at the same time
    When soak run "a.0.0.0:1" starts on "w1"
    And soak run "a.0.0.0:2" starts on "w2"
    Then the soak history has a violation that starts with "a.0.0.0 runs twice"

  Scenario: a task that starts after its end was acknowledged
    When soak run "a.0.0.0:1" on "w1" ends "done"
    And the end of soak run "a.0.0.0:1" is acknowledged
    And soak run "a.0.0.0:2" starts on "w2"
    Then the soak history has a violation that starts with "a.0.0.0 was started after its end"

  Scenario: a task that is restarted because its unacknowledged end was lost with the endpoint
    When soak run "a.0.0.0:1" on "w1" ends "done"
    And soak run "a.0.0.0:2" on "w2" ends "done"
    And the end of soak run "a.0.0.0:2" is acknowledged
    Then the soak history has no violations

  Scenario: a task that starts before its end is acknowledged under an unexpired lease
    When soak run "a.0.0.0:1" on "w1" ends "done"
    And soak run "a.0.0.0:2" starts on "w2"
    And the end of soak run "a.0.0.0:1" is acknowledged
    Then the soak history has a violation that starts with "a.0.0.0 was started after its end"

  Scenario: a task that starts again because the lease of its endpoint expired before the acknowledgement
    When soak run "a.0.0.0:1" on "w1" ends "done"
    And the lease of soak endpoint "w1" expires
    And soak run "a.0.0.0:2" starts on "w2"
    And the end of soak run "a.0.0.0:1" is acknowledged
    Then the soak history has no violations

  Scenario: a task that starts again although its end was acknowledged before the lease expired
    When soak run "a.0.0.0:1" on "w1" ends "done"
    And the end of soak run "a.0.0.0:1" is acknowledged
    And the lease of soak endpoint "w1" expires
    And soak run "a.0.0.0:2" starts on "w2"
    Then the soak history has a violation that starts with "a.0.0.0 was started after its end"

  Scenario: a task that starts again after the lease of another endpoint expired
    When soak run "a.0.0.0:1" on "w1" ends "done"
    And the lease of soak endpoint "w2" expires
    And soak run "a.0.0.0:2" starts on "w2"
    And the end of soak run "a.0.0.0:1" is acknowledged
    Then the soak history has a violation that starts with "a.0.0.0 was started after its end"

  Scenario: an endpoint that runs more than its capacity
    Given soak job "b" with steps of 2 and 1 tasks of 2 cores is submitted
    When soak run "a.0.0.0:1" starts on "w1"
    And soak run "a.0.0.1:1" starts on "w1"
    And soak run "b.0.0.0:1" starts on "w1"
    Then the soak history has a violation that starts with "w1 is overcommitted"

  Scenario: an endpoint that runs more than the capacity that it has reported for long
    Given the clock of the soak is paused
    When soak endpoint "w1" reports a capacity of 1 cores
    And the report of 1 cores of soak endpoint "w1" is acknowledged
    And 4301 ms of the soak pass
    And soak run "a.0.0.0:1" starts on "w1"
    Then the soak history has a violation that starts with "w1 is overcommitted"

  Scenario: a start that is based on the capacity that an endpoint has just reported less of
    Given the clock of the soak is paused
    When soak endpoint "w1" reports a capacity of 1 cores
    And the report of 1 cores of soak endpoint "w1" is acknowledged
    And 4000 ms of the soak pass
    And soak run "a.0.0.0:1" starts on "w1"
    Then the soak history has no violations

  Scenario: a start that is based on a report whose acknowledgement has not arrived yet
    Given the clock of the soak is paused
    When soak endpoint "w1" reports a capacity of 1 cores
    And the report of 1 cores of soak endpoint "w1" is acknowledged
    And 10000 ms of the soak pass
    And soak endpoint "w1" reports a capacity of 4 cores
    And soak run "a.0.0.0:1" starts on "w1"
    Then the soak history has no violations

  Scenario: an endpoint that reports less than it runs
    Given the clock of the soak is paused
    When soak run "a.0.0.0:1" starts on "w1"
    And soak endpoint "w1" reports a capacity of 1 cores
    And the report of 1 cores of soak endpoint "w1" is acknowledged
    And 10000 ms of the soak pass
    Then the soak history has no violations

  Scenario: an endpoint whose capacity has grown
    Given soak job "b" with steps of 2 and 1 tasks of 2 cores is submitted
    When soak endpoint "w1" reports a capacity of 6 cores
    And soak run "a.0.0.0:1" starts on "w1"
    And soak run "a.0.0.1:1" starts on "w1"
    And soak run "b.0.0.0:1" starts on "w1"
    Then the soak history has no violations

  Scenario: a task that is started a third time after it has crashed three endpoints
    Given crashing soak job "c" is submitted
    When soak run "c.0.0.0" crashes 5 endpoints in turn
    And soak run "c.0.0.0:6" starts on "w1"
    Then the soak history has a violation that starts with "c.0.0.0 was started 3 times more after 3 crashes"

  Scenario: a task that is started twice after it has crashed three endpoints
    Given crashing soak job "c" is submitted
    When soak run "c.0.0.0" crashes 5 endpoints in turn
    And soak job "c" is reported as "failed"
    Then the soak history has no violations

  Scenario: a crashing job that fails after one crash
    Given crashing soak job "c" is submitted
    When soak run "c.0.0.0" crashes 1 endpoints in turn
    And soak job "c" is reported as "failed"
    Then the soak history has a violation that starts with "c is reported as failed without cause"

  Scenario: a crashing job that fails after two prompt crashes
    Given crashing soak job "c" is submitted
    When soak run "c.0.0.0" crashes 2 endpoints in turn
    And soak job "c" is reported as "failed"
    Then the soak history has no violations

  Scenario: an innocent job that fails because its endpoints crashed
    When soak run "a.0.0.0" crashes 4 endpoints in turn
    And soak job "a" is reported as "failed"
    Then the soak history has a violation that starts with "a is reported as failed without cause"

  Scenario: an innocent job that goes on although its endpoints crashed
    When soak run "a.0.0.0" crashes 9 endpoints in turn
    And soak run "a.0.0.0:10" starts on "w1"
    Then the soak history has no violations

  Scenario: a job whose task has failed as often as allowed
    When soak run "a.0.0.0:1" on "w1" ends "failed"
    And soak run "a.0.0.0:2" on "w1" ends "failed"
    And soak run "a.0.0.0:3" on "w1" ends "failed"
    And soak job "a" is reported as "failed"
    Then the soak history has no violations

  Scenario: a job whose task has failed less often than allowed
    When soak run "a.0.0.0:1" on "w1" ends "failed"
    And soak run "a.0.0.0:2" on "w1" ends "failed"
    And soak run "a.0.0.1:1" on "w1" ends "failed"
    And soak job "a" is reported as "failed"
    Then the soak history has a violation that starts with "a is reported as failed without cause"

  Scenario: a job that is reported as cancelled without a cancellation
    When soak job "a" is reported as "cancelled"
    Then the soak history has a violation that starts with "a is reported as cancelled, but nobody"

  Scenario: a step that starts too early
    When soak run "a.0.0.0:1" on "w1" ends "done"
    And soak run "a.0.1.0:1" starts on "w1"
    Then the soak history has a violation that starts with "a.0.1.0 was started before step 0"

  Scenario: a task of a job that was never submitted
    When soak run "z.0.0.0:1" starts on "w1"
    Then the soak history has a violation that starts with "z.0.0.0 was started on w1, but no caller submitted its job"

  Scenario: a refused job that runs
    Given the response to soak job "a" is "refused"
    When soak run "a.0.0.0:1" starts on "w1"
    Then the soak history has a violation that starts with "a.0.0.0 was started, but its job was refused"

  Scenario: a refused job that runs before it is submitted again
    Given the response to soak job "a" is "refused"
    When soak run "a.0.0.0:1" starts on "w1"
    And soak job "a" is submitted again
    And the response to soak job "a" is "accepted"
    Then the soak history has a violation that starts with "a.0.0.0 was started on w1, but its job had been refused"

  Scenario: a refused job that runs while it is submitted again
    Given the response to soak job "a" is "refused"
    When soak job "a" is submitted again
    And soak run "a.0.0.0:1" on "w1" ends "done"
    And the response to soak job "a" is "accepted"
    Then the soak history has no violations

  Scenario: a job reported as completed too early
    When soak run "a.0.0.0:1" on "w1" ends "done"
    And soak job "a" is reported as "completed"
    Then the soak history has a violation that starts with "a is reported as completed, but step 0"

  Scenario: a cancelled job that keeps running
    When soak run "a.0.0.0:1" starts on "w1"
    And soak job "a" is cancelled
    Then the soak history has a violation that starts with "a.0.0.0 still runs, but a was cancelled"

  Scenario: a job that starts although its cancellation found none
    When the cancellation of soak job "a" finds no job
    Then the soak history has no violations
    When soak run "a.0.0.0:1" starts on "w1"
    Then the soak history has a violation that starts with "a.0.0.0 was started on w1, but its cancellation"

  Scenario: an accepted job that its cancellation does not find
    When the response to soak job "a" is "accepted"
    And the cancellation of soak job "a" finds no job
    Then the soak history has a violation that starts with "a was accepted, but its cancellation"

  Scenario: a configuration that reverts to an earlier version
    When soak configuration 3 is acknowledged
    And soak configuration 5 is acknowledged
    And soak configuration 3 is read
    Then the soak history has a violation that starts with "configuration 3 was read after 5"

  Scenario: a seed always yields the same faults
    Then the faults of soak seed 7 are the same each time
