Feature: Recognition of crashed endpoints
  Guards against crashes that are recorded like any other loss, so that logs and metrics do not tell
  which tasks were present, and against planned ends that are counted as crashes.

  Background:
    Given a workflow leader

  Scenario Outline: a newer incarnation is the evidence of a crash
    Given workers that crash are back after 3000 ms under <id> id
    And 1 workers of 4 cores
    When job "j" of 2 tasks of 2000 ms is submitted
    And 100 ms of workflow time pass
    And worker w1 crashes
    And 6000 ms of workflow time pass
    Then 1 crashes are counted, with 2 runs
    And the crash of w1 is logged with run "j.0.0.0:1"

    Examples:
      | id       |
      | the same |
      | another  |

  Scenario: an announced shutdown is no crash
    Given workers that crash are back after 1000 ms under another id
    And 2 workers of 4 cores
    When job "j" of 8 tasks of 2000 ms is submitted
    And 100 ms of workflow time pass
    And worker w1 leaves and comes back
    And 6000 ms of workflow time pass
    Then 0 crashes are counted, with 0 runs

  Scenario: maintenance is no crash
    Given 2 workers of 4 cores
    When job "j" of 8 tasks of 2000 ms is submitted
    And 100 ms of workflow time pass
    And an instance is taken down for maintenance
    And 6000 ms of workflow time pass
    Then 1 instances were maintained
    And 0 crashes are counted, with 0 runs

  Scenario: an expired lease is no crash
    Given 2 workers of 4 cores
    When job "j" of 8 tasks of 20000 ms is submitted
    And 100 ms of workflow time pass
    And worker w1 becomes unresponsive
    And 12000 ms of workflow time pass
    Then 0 crashes are counted, with 0 runs
