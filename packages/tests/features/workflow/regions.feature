Feature: Queues that are bound to regions
  Guards against work that runs outside the regions that its queue allows.

  Background:
    Given a workflow leader
    And 2 workers of 4 cores in data centre "north"
    And 2 workers of 4 cores in data centre "south"

  Scenario: work runs only in the allowed regions, other queues use the whole pool
    Given a queue "bound" to the data centres "south"
    When bound job "b" of 12 tasks is submitted
    And 100 ms of workflow time pass
    Then 0 tasks are running in "north"
    And 8 tasks are running in "south"
    When job "j" of 8 tasks is submitted
    And 100 ms of workflow time pass
    Then 8 tasks are running in "north"
    When 2000 ms of workflow time pass
    Then job "j" is "completed"
    And bound job "b" has completed

  # Guards against an operator who sees work wait beside idle endpoints and cannot tell why.
  Scenario: work that waits for its regions says so
    Given a queue "bound" to the data centres "south"
    When "south" is evacuated
    And bound job "b" of 1 tasks is submitted
    And 3000 ms of workflow time pass
    Then the log explains a wait with 2 evacuated endpoints
    And the log explains a wait for the regions "r" with 2 endpoints in others

  # Guards against starts that were decided under an earlier configuration.
  Scenario: a start decided before a change of the regions is not ordered outside them
    Given starts are committed late
    When job "j" of 8 tasks is submitted
    And 50 ms of workflow time pass
    And the queue is bound to the data centres "south"
    And the late starts are committed
    And 3000 ms of workflow time pass
    Then job "j" is "completed"
    And worker w1 has started no run
    And worker w2 has started no run
    And runs were lost as "other-region"

  Scenario: a copy of a slow task stays in the allowed regions
    Given the queue is bound to the data centres "south"
    And worker w3 completes new tasks after 20000 ms
    And worker w4 completes new tasks after 20000 ms
    When job "j" of 2 tasks that may be copied is submitted
    And 5000 ms of workflow time pass
    Then worker w1 has started no run
    And worker w2 has started no run

  # Guards against sound endpoints elsewhere that delay the trial of the only ones allowed.
  Scenario: an ejected endpoint on which bound work depends is tried soon after it is sound again
    Given 8 workers of 4 cores in data centre "north"
    And 1 workers of 32 cores in data centre "alone"
    And a queue "bound" to the data centres "alone"
    And worker w13 fails the tasks that it starts
    And worker w13 completes new tasks after 100 ms
    When 3 bound jobs of 1 task are submitted
    And bound service "s" of 1 tasks is submitted
    And 30000 ms of workflow time pass
    And worker w13 responds again
    And tasks of "s" run until they are stopped
    And 5500 ms of workflow time pass
    Then service "s" runs 1 tasks
