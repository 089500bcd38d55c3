Feature: Orders that go astray
  Guards against a task that runs twice, or never, because a start order had no answer, an
  endpoint fell silent or began a new life, or the leader changed.

  Background:
    Given a workflow leader
    And 2 workers of 4 cores

  Scenario: a start whose answer is lost goes on and is not repeated
    Given worker w1 loses the answers to its starts
    And worker w2 loses the answers to its starts
    When job "j" of 4 tasks is submitted
    And 3000 ms of workflow time pass
    Then job "j" is "completed"
    And no task was started more than once

  Scenario: a start that is carried out late has no effect once the task runs elsewhere
    Given worker w1 carries starts out late
    When job "j" of 4 tasks is submitted
    And 6000 ms of workflow time pass
    Then job "j" is "completed"
    And no task ran twice at the same time
    And worker w1 has started nothing

  Scenario: an order without an answer costs an urgent task less than a second
    Given worker w1 carries starts out late
    When job "j" of 4 tasks is submitted
    And 1500 ms of workflow time pass
    Then job "j" is "completed"

  Scenario: tasks of a silent endpoint start elsewhere when its lease has ended
    When job "j" of 8 tasks of 20000 ms is submitted
    And 100 ms of workflow time pass
    And worker w1 falls silent
    And 3500 ms of workflow time pass
    Then 8 runs were started
    When worker w2 ends its tasks after 100 ms from now on
    And 30000 ms of workflow time pass
    Then job "j" is "completed"
    And no task ran twice at the same time

  Scenario: a new life of an endpoint loses what the earlier one ran
    When job "j" of 8 tasks of 2000 ms is submitted
    And 100 ms of workflow time pass
    And worker w1 begins a new life
    And 6000 ms of workflow time pass
    Then job "j" is "completed"

  Scenario: a change of leader starts nothing twice
    When job "j" of 8 tasks of 2000 ms is submitted
    And 100 ms of workflow time pass
    And the workflow leader changes
    And 4000 ms of workflow time pass
    Then job "j" is "completed"
    And no task was started more than once

  Scenario: a change of leader while starts are on their way
    Given worker w1 loses the answers to its starts
    When job "j" of 8 tasks of 2000 ms is submitted
    And the workflow leader changes
    And 8000 ms of workflow time pass
    Then job "j" is "completed"
    And no task ran twice at the same time

  Scenario: a successor waits for the leases of an endpoint that it cannot reach
    When job "j" of 8 tasks of 3000 ms is submitted
    And 100 ms of workflow time pass
    And worker w1 falls silent
    And the workflow leader changes
    And 3500 ms of workflow time pass
    Then 8 runs were started
    When 12000 ms of workflow time pass
    Then job "j" is "completed"
    And no task ran twice at the same time

  Scenario: ends that cannot be recorded for a moment are recorded later
    When job "j" of 8 tasks is submitted
    And 400 ms of workflow time pass
    And no majority answers the workflow leader
    And 600 ms of workflow time pass
    And a majority answers the workflow leader
    And 1000 ms of workflow time pass
    Then job "j" is "completed"
    And no task was started more than once

  Scenario: starts that are recorded but cannot be ordered for a moment are made up for
    Given the workflow leader loses its majority with its next starts
    When job "j" of 4 tasks is submitted
    And 200 ms of workflow time pass
    And a majority answers the workflow leader
    And 2000 ms of workflow time pass
    Then job "j" is "completed"
    And no task was started more than once

  Scenario: losses that cannot be recorded for a moment are recorded later
    When job "j" of 8 tasks of 2000 ms is submitted
    And 100 ms of workflow time pass
    And no majority answers the workflow leader
    And worker w1 begins a new life
    And 600 ms of workflow time pass
    And a majority answers the workflow leader
    And 6000 ms of workflow time pass
    Then job "j" is "completed"

  Scenario: an inspection without an answer does not hold up the ends for long
    When job "j" of 4 tasks of 1000 ms is submitted
    And 100 ms of workflow time pass
    And the inspection of worker w1 gets no answer
    And 2300 ms of workflow time pass
    Then job "j" is "completed"

  Scenario: a copy helps a task on a silent endpoint where copies are allowed
    When job "j" of 8 tasks that may be copied is submitted
    And 20 ms of workflow time pass
    And worker w1 falls silent
    And 2500 ms of workflow time pass
    Then job "j" is "completed"

  Scenario: an overloaded leader: the time that it was late itself is not held against runs
    When worker w1 ends its tasks after 2100 ms from now on
    And worker w2 ends its tasks after 2100 ms from now on
    And job "j" of 4 tasks that may be copied is submitted
    And 20 ms of workflow time pass
    And the workflow leader stands still for 2000 ms
    And 30 ms of workflow time pass
    Then 4 runs were started

  Scenario: heartbeats that go astray: an endpoint that answers is still given work
    Given 2 workers of 4 cores
    And the heartbeats of all workers go astray
    When 20 jobs of 1 task are submitted 300 ms apart
    And 2000 ms of workflow time pass
    Then at least 20 jobs are "completed"

  Scenario: a task that stands still is started again elsewhere
    Given worker w1 stalls what it starts
    When job "j" of 4 tasks is submitted
    And 30000 ms of workflow time pass
    Then job "j" is "completed"

  Scenario: a worker that fails everything does not fail the jobs
    Given worker w1 fails what it starts
    When 20 jobs of 1 task are submitted 300 ms apart
    And 10000 ms of workflow time pass
    Then at least 18 jobs are "completed"

  Scenario: a stop that cannot be ordered for a moment is ordered later
    When job "j" of 8 tasks of 60000 ms is submitted
    And 100 ms of workflow time pass
    And worker w1 falls silent
    And job "j" is cancelled
    And 300 ms of workflow time pass
    And no majority answers the workflow leader
    And worker w1 answers again
    And 600 ms of workflow time pass
    And a majority answers the workflow leader
    And 1000 ms of workflow time pass
    Then nothing runs

  Scenario: an endpoint that has left and comes back under its name is watched again
    When worker w1 leaves
    And 1000 ms of workflow time pass
    And worker w1 comes back
    And job "j" of 8 tasks is submitted
    And 2000 ms of workflow time pass
    Then job "j" is "completed"
    And worker w1 has started 4 runs

  Scenario: a start that a worker has not carried out is gone with its life
    Given worker w1 carries starts out late
    When job "j" of 4 tasks is submitted
    And 500 ms of workflow time pass
    And worker w1 begins a new life
    And 6000 ms of workflow time pass
    Then job "j" is "completed"
    And worker w1 has started nothing
