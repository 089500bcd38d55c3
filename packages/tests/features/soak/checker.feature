Feature: Checker of the fault soak
  Guards against a soak that passes because its checker sees nothing: each promise is broken once.

  Background:
    Given a soak history with endpoints of 4 cores
    And soak job "a" with steps of 2 and 1 tasks of 2 cores is handed in

  Scenario: a job that runs as it should breaks no promise
    Given the answer to soak job "a" is "accepted"
    When soak run "a.0.0.0:1" on "w1" ends "done"
    And soak run "a.0.0.1:1" on "w1" ends "done"
    And soak run "a.0.1.0:1" on "w2" ends "done"
    And soak job "a" is shown as "completed"
    Then the soak breaks no promise

  Scenario: a task that runs twice
    When soak run "a.0.0.0:1" starts on "w1"
    And soak run "a.0.0.0:2" starts on "w2"
    Then the soak breaks "a.0.0.0 runs twice"

  Scenario: a task that starts after its end was taken note of
    When soak run "a.0.0.0:1" on "w1" ends "done"
    And the end of soak run "a.0.0.0:1" is taken note of
    And soak run "a.0.0.0:2" starts on "w2"
    Then the soak breaks "a.0.0.0 was started after its end"

  Scenario: a task that starts again because its end was lost with the endpoint
    When soak run "a.0.0.0:1" on "w1" ends "done"
    And soak run "a.0.0.0:2" on "w2" ends "done"
    And the end of soak run "a.0.0.0:2" is taken note of
    Then the soak breaks no promise

  Scenario: an endpoint with more than it holds
    Given soak job "b" with steps of 2 and 1 tasks of 2 cores is handed in
    When soak run "a.0.0.0:1" starts on "w1"
    And soak run "a.0.0.1:1" starts on "w1"
    And soak run "b.0.0.0:1" starts on "w1"
    Then the soak breaks "w1 is overcommitted"

  Scenario: a step that starts too early
    When soak run "a.0.0.0:1" on "w1" ends "done"
    And soak run "a.0.1.0:1" starts on "w1"
    Then the soak breaks "a.0.1.0 was started before step 0"

  Scenario: a task that nobody asked for
    When soak run "z.0.0.0:1" starts on "w1"
    Then the soak breaks "z.0.0.0 was started on w1, but nobody asked for it"

  Scenario: a refused job that runs
    Given the answer to soak job "a" is "refused"
    When soak run "a.0.0.0:1" starts on "w1"
    Then the soak breaks "a.0.0.0 was started, but its job was refused"

  Scenario: a job shown as completed too early
    When soak run "a.0.0.0:1" on "w1" ends "done"
    And soak job "a" is shown as "completed"
    Then the soak breaks "a is shown as completed, but step 0"

  Scenario: a cancelled job that runs on
    When soak run "a.0.0.0:1" starts on "w1"
    And soak job "a" is cancelled
    Then the soak breaks "a.0.0.0 still runs, but a was cancelled"

  Scenario: a configuration that goes back
    When soak configuration 3 is acknowledged
    And soak configuration 5 is acknowledged
    And soak configuration 3 is read
    Then the soak breaks "configuration 3 was read after 5"

  Scenario: the faults of a seed are always the same
    Then the faults of soak seed 7 are the same each time
