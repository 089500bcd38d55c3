Feature: Odd entries among those of the endpoints
  Guards against damage by heartbeats of another writer that look like those of a sound endpoint:
  the sound one must neither be silenced nor removed, and its runs must not be lost.

  Background:
    Given a workflow leader

  Scenario: a huge sequence silences a sound endpoint for a few heartbeats only
    Given 1 workers of 4 cores
    When an odd heartbeat of worker w1 has sequence 9007199254740991
    And worker w1 reports a capacity of 2 cores
    And 9000 ms of workflow time pass
    And job "j" of 4 tasks is submitted
    And 300 ms of workflow time pass
    Then 2 runs were started

  Scenario: late heartbeats after a newer one are still ignored
    Given 1 workers of 4 cores
    When worker w1 reports a capacity of 2 cores
    And the heartbeats of all workers are lost
    And an odd heartbeat of worker w1 has sequence 0
    And an odd heartbeat of worker w1 has sequence 1
    And job "j" of 4 tasks is submitted
    And 300 ms of workflow time pass
    Then 2 runs were started

  Scenario: a claim of a newer incarnation does not supersede an endpoint that responds
    Given 2 workers of 4 cores
    When job "j" of 8 tasks of 2000 ms is submitted
    And 100 ms of workflow time pass
    And an odd heartbeat of worker w1 claims a newer incarnation
    And 6000 ms of workflow time pass
    Then job "j" is "completed"
    And no task was started more than once
    When job "k" of 8 tasks of 500 ms is submitted
    And 1000 ms of workflow time pass
    Then job "k" is "completed"

  Scenario Outline: a claim at the <place> of an endpoint that responds does not remove it
    Given 2 workers of 4 cores
    When job "j" of 8 tasks of 2000 ms is submitted
    And 100 ms of workflow time pass
    And an odd heartbeat claims a newer incarnation at the <place> of worker w1
    And 6000 ms of workflow time pass
    Then job "j" is "completed"
    And no task was started more than once

    Examples:
      | place    |
      | address  |
      | instance |

  Scenario: an endpoint that was superseded by a false claim while it was cut off comes back
    Given 1 workers of 4 cores
    When worker w1 becomes unresponsive
    And 3000 ms of workflow time pass
    And an odd heartbeat of worker w1 claims a newer incarnation
    And 3000 ms of workflow time pass
    And worker w1 responds again
    And 6000 ms of workflow time pass
    And job "j" of 4 tasks is submitted
    And 1000 ms of workflow time pass
    Then job "j" is "completed"

  Scenario: a false claim while an endpoint is cut off does not make its runs lost
    Given 2 workers of 4 cores
    And 10000 ms of workflow time pass
    When job "j" of 8 tasks of 4000 ms is submitted
    And 100 ms of workflow time pass
    And worker w1 becomes unresponsive
    And 1000 ms of workflow time pass
    And an odd heartbeat of worker w1 claims a newer incarnation
    And 1500 ms of workflow time pass
    And worker w1 responds again
    And 8000 ms of workflow time pass
    Then job "j" is "completed"
    And no task was started more than once

  Scenario: another address of the same incarnation does not make its runs lost
    Given 2 workers of 4 cores
    And 10000 ms of workflow time pass
    When job "j" of 8 tasks of 2000 ms is submitted
    And 100 ms of workflow time pass
    And an odd heartbeat of worker w1 has another address
    And 6000 ms of workflow time pass
    Then job "j" is "completed"
    And no task was started more than once

  Scenario: a clock that is far ahead does not keep the runs of an endpoint that has failed
    Given 3 workers of 4 cores
    When service "s" of 4 tasks with at most 4 per worker is submitted
    And 8000 ms of workflow time pass
    And an odd heartbeat of worker w1 has clock 9007199254740000
    And service "t" of 4 tasks with at most 4 per worker is submitted
    And 1000 ms of workflow time pass
    And worker w1 becomes unresponsive
    And 20000 ms of workflow time pass
    Then service "s" runs 4 tasks
    And service "t" runs 4 tasks

  Scenario: a listed run that its job cannot have does not hide the others
    Given 1 workers of 4 cores
    And worker w1 lists a run of "j" that this job cannot have
    When job "j" of 4 tasks is submitted
    And 3000 ms of workflow time pass
    Then job "j" is "completed"

  Scenario: another spelling of a task name does not stop the task
    Given 1 workers of 4 cores
    When job "j" of 1 tasks of 2000 ms is submitted
    And 100 ms of workflow time pass
    And worker w1 lists a run of "j" as task "0.0.00"
    And 5000 ms of workflow time pass
    Then job "j" is "completed"
    And no task was started more than once

  Scenario: runs are not lost because their rows cannot be read
    Given 2 workers of 4 cores
    When job "j" of 8 tasks of 2000 ms is submitted
    And 100 ms of workflow time pass
    And the runs that worker w1 lists cannot be read
    And 1500 ms of workflow time pass
    And the runs that worker w1 lists can be read again
    And 6000 ms of workflow time pass
    Then job "j" is "completed"
    And no task was started more than once

  Scenario Outline: a claim at the <place> of an endpoint that is cut off does not start its runs twice
    Given 2 workers of 4 cores
    And 10000 ms of workflow time pass
    When job "j" of 4 tasks of 4000 ms is submitted
    And 100 ms of workflow time pass
    And worker w1 becomes unresponsive
    And 1000 ms of workflow time pass
    And an odd heartbeat claims a newer incarnation at the <place> of worker w1
    And 1500 ms of workflow time pass
    And worker w1 responds again
    And 8000 ms of workflow time pass
    Then job "j" is "completed"
    And no task was started more than once

    Examples:
      | place    |
      | address  |
      | instance |
