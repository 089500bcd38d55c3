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

  Scenario: a configuration that reverts to an earlier version
    When soak configuration 3 is acknowledged
    And soak configuration 5 is acknowledged
    And soak configuration 3 is read
    Then the soak history has a violation that starts with "configuration 3 was read after 5"

  Scenario: a seed always yields the same faults
    Then the faults of soak seed 7 are the same each time
