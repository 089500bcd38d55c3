Feature: Service monitor of the soak
  Guards against a soak that does not notice a service task without a run.

  Background:
    Given the clock of the soak is paused
    And a soak history with endpoints of 4 cores
    And soak service "s" of 1 tasks of 2 cores, at most 1 on an endpoint, is accepted
    And the soak monitors services on "w1"

  Scenario: a service task that never runs
    When 11000 ms of the soak pass
    Then the soak history has a violation that starts with "s.0.0.0 has not run for"

  Scenario: a service task that does not run again
    When soak run "s.0.0.0:1" starts on "w1"
    And 30000 ms of the soak pass
    And soak run "s.0.0.0:1" is lost with "w1"
    And 11000 ms of the soak pass
    Then the soak history has a violation that starts with "s.0.0.0 has not run for"

  Scenario: a service task that runs again in time
    When soak run "s.0.0.0:1" starts on "w1"
    And 30000 ms of the soak pass
    And soak run "s.0.0.0:1" is lost with "w1"
    And 9000 ms of the soak pass
    And soak run "s.0.0.0:2" starts on "w1"
    And 30000 ms of the soak pass
    Then the soak history has no violations

  Scenario: a service task without room for it
    Given soak job "a" with steps of 2 and 1 tasks of 2 cores is submitted
    When soak run "a.0.0.0:1" starts on "w1"
    And 30000 ms of the soak pass
    Then the soak history has no violations

  Scenario: a service task whose time without a run was interrupted by a lack of room
    Given soak job "a" with steps of 2 and 1 tasks of 2 cores is submitted
    When 9000 ms of the soak pass
    And soak run "a.0.0.0:1" starts on "w1"
    And 100 ms of the soak pass
    And soak run "a.0.0.0:1" is lost with "w1"
    And 9000 ms of the soak pass
    Then the soak history has no violations

  Scenario: a second task of a service on an endpoint that may have only one
    Given soak service "t" of 2 tasks of 1 cores, at most 1 on an endpoint, is accepted
    When soak run "s.0.0.0:1" starts on "w1"
    And soak run "t.0.0.0:1" starts on "w1"
    And 30000 ms of the soak pass
    Then the soak history has no violations

  Scenario: a service that is being cancelled
    When the cancellation of soak job "s" is sent
    And 30000 ms of the soak pass
    Then the soak history has no violations
