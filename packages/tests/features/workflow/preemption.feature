Feature: Preemption of runs for urgent work
  Long tasks fill the fleet when urgent work arrives. Runs that write checkpoints are stopped for
  urgent steps that would be late otherwise, as few as possible.

  Scenario Outline: a burst of urgent jobs on a fleet that a wide long job fills
    Given a leader with urgent and long work<mode>
    And 10 workers of 8 cores
    And all runs take 200 ms to stop
    When checkpointing job "wide" of 40 tasks of 2 cores for 6000 ms is submitted to queue "long"
    And 1500 ms of workflow time pass
    And a burst of 8 urgent jobs of 4 tasks of 1 cores for 500 ms is submitted
    And 20000 ms of workflow time pass
    Then <inTime> urgent jobs were in time
    And <stopped> runs were preempted
    And long job "wide" has completed
    And no work of job "wide" was lost
    And no task ran twice at the same time
    And the metrics show <stopped> preempted runs

    Examples:
      | mode                      | inTime | stopped |
      |                           | 8      | 16      |
      | , but without preemption | 0      | 0       |

  # Guards against stops that cost work or break what has to run together.
  Scenario Outline: <kind> work is not preempted
    Given a leader with urgent and long work
    And 4 workers of 4 cores
    When <kind> job "other" of 8 tasks of 2 cores for 4000 ms is submitted to queue "long"
    And 1500 ms of workflow time pass
    And a burst of 2 urgent jobs of 2 tasks of 1 cores for 500 ms is submitted
    And 1000 ms of workflow time pass
    Then 0 runs were preempted

    Examples:
      | kind              |
      | plain             |
      | gang              |
      | service           |
      | latency-sensitive |

  # Guards against stops that a cell did not ask for.
  Scenario: runs of queues of the same priority are not preempted
    Given a leader with urgent and long work whose queues have the same priority
    And 4 workers of 4 cores
    When checkpointing job "peer" of 8 tasks of 2 cores for 4000 ms is submitted to queue "equal"
    And 1500 ms of workflow time pass
    And a burst of 2 urgent jobs of 2 tasks of 1 cores for 500 ms is submitted
    And 1000 ms of workflow time pass
    Then 0 runs were preempted

  # Guards against stops of runs whose room would be free as soon without them.
  Scenario: room that becomes free in time is waited for
    Given a leader with urgent and long work
    And 4 workers of 4 cores
    When checkpointing job "wide" of 8 tasks of 2 cores for 2000 ms is submitted to queue "long"
    And 1600 ms of workflow time pass
    And a burst of 2 urgent jobs of 2 tasks of 1 cores for 500 ms is submitted
    And 2000 ms of workflow time pass
    Then 0 runs were preempted
    And 2 urgent jobs were in time

  # Guards against the loss of work that no checkpoint covers yet.
  Scenario: a run that has just started is not preempted
    Given a leader with urgent and long work
    And 4 workers of 4 cores
    When checkpointing job "wide" of 8 tasks of 2 cores for 6000 ms is submitted to queue "long"
    And 100 ms of workflow time pass
    And a burst of 2 urgent jobs of 2 tasks of 1 cores for 500 ms is submitted
    And 500 ms of workflow time pass
    Then 0 runs were preempted
    When 700 ms of workflow time pass
    Then 2 runs were preempted

  # Guards against a task that never ends because urgent work keeps coming.
  Scenario: bursts that follow each other do not stop the same task again and again
    Given a leader with urgent and long work
    And 2 workers of 2 cores
    And all runs take 200 ms to stop
    When checkpointing job "wide" of 2 tasks of 2 cores for 30000 ms is submitted to queue "long"
    And 1500 ms of workflow time pass
    And an urgent job of 2 tasks of 1 cores for 500 ms is submitted every 2500 ms for 40000 ms
    Then no task was preempted more than 3 times
    When 20000 ms of workflow time pass
    Then long job "wide" has completed
    And no work of job "wide" was lost

  # Guards against further stops for a step in the cycles until its room is free.
  Scenario: several scheduling cycles stop runs for a step only once
    Given a leader with urgent and long work
    And 10 workers of 4 cores
    And all runs take 200 ms to stop
    When checkpointing job "wide" of 20 tasks of 2 cores for 6000 ms is submitted to queue "long"
    And 1500 ms of workflow time pass
    And a burst of 1 urgent jobs of 2 tasks of 1 cores for 500 ms is submitted
    And plain jobs are submitted to queue "long" every 10 ms for 1000 ms
    Then 1 runs were preempted
    And 1 urgent jobs were in time

  # Guards against a step that pays for room with its slack and loses it to another.
  Scenario: freed room goes to the step that it was freed for
    Given a leader with urgent and long work
    And 10 workers of 4 cores
    And all runs take 200 ms to stop
    When checkpointing job "wide" of 20 tasks of 2 cores for 6000 ms is submitted to queue "long"
    And 1500 ms of workflow time pass
    And plain job "first" of 2 tasks of 1 cores for 500 ms is submitted to queue "q"
    And 100 ms of workflow time pass
    Then 1 runs were preempted
    When plain job "second" of 2 tasks of 1 cores for 500 ms is submitted to queue "q" by "other"
    And 1000 ms of workflow time pass
    Then a run of job "first" was ordered within 260 ms
    And a run of job "second" was ordered within 360 ms
    And 2 runs were preempted

  # Guards against too much capacity that is idle at a time.
  Scenario: the capacity that is being freed is bounded
    Given a leader with urgent and long work
    And 10 workers of 4 cores
    And all runs take 200 ms to stop
    When checkpointing job "wide" of 20 tasks of 2 cores for 6000 ms is submitted to queue "long"
    And 1500 ms of workflow time pass
    And a burst of 10 urgent jobs of 4 tasks of 1 cores for 500 ms is submitted
    And 100 ms of workflow time pass
    Then at most 4 runs were preempted

  # Guards against an urgent step that waits for its organisation's own patient work.
  Scenario: an organisation at its limit has its own long runs stopped, and no others
    Given a leader with urgent and long work
    And 6 workers of 4 cores
    And the organisation is limited to 8 cores
    And all runs take 200 ms to stop
    When checkpointing job "own" of 4 tasks of 2 cores for 6000 ms is submitted to queue "long"
    And checkpointing job "foreign" of 6 tasks of 2 cores for 6000 ms is submitted to queue "long" by "other"
    And 1500 ms of workflow time pass
    And a burst of 2 urgent jobs of 2 tasks of 1 cores for 500 ms is submitted
    And 2000 ms of workflow time pass
    Then 2 urgent jobs were in time
    And only runs of job "own" were preempted
    And at most 2 runs were preempted
    And the organisation never used more than 8 cores
    When 20000 ms of workflow time pass
    Then long job "own" has completed
    And no work of job "own" was lost

  # Guards against an organisation at its limit that stops the work of others in vain.
  Scenario: an organisation at its limit without runs to stop has none of others stopped
    Given a leader with urgent and long work
    And 4 workers of 4 cores
    And the organisation is limited to 4 cores
    When plain job "own" of 2 tasks of 2 cores for 6000 ms is submitted to queue "long"
    And checkpointing job "foreign" of 6 tasks of 2 cores for 6000 ms is submitted to queue "long" by "other"
    And 1500 ms of workflow time pass
    And a burst of 2 urgent jobs of 2 tasks of 1 cores for 500 ms is submitted
    And 2000 ms of workflow time pass
    Then 0 runs were preempted

  # Guards against a leader that remembers stops it can no longer complete.
  Scenario: the leader is lost between the stop and the start
    Given a leader with urgent and long work
    And 4 workers of 4 cores
    And all runs take 200 ms to stop
    When checkpointing job "wide" of 8 tasks of 2 cores for 6000 ms is submitted to queue "long"
    And 1500 ms of workflow time pass
    And a burst of 1 urgent jobs of 2 tasks of 1 cores for 500 ms is submitted
    And 100 ms of workflow time pass
    Then 1 runs were preempted
    When the workflow leader changes
    And 400 ms of workflow time pass
    Then a run of job "burst0" was ordered within 600 ms
    And 1 runs were preempted
    When 20000 ms of workflow time pass
    Then long job "wide" has completed
    And no work of job "wide" was lost
    And no task ran twice at the same time

  # Guards against room that is counted as free although its run may go on.
  Scenario: the endpoint does not respond any more after the stop order
    Given a leader with urgent and long work
    And 4 workers of 4 cores
    And all runs take 200 ms to stop
    When checkpointing job "wide" of 8 tasks of 2 cores for 9000 ms is submitted to queue "long"
    And 1500 ms of workflow time pass
    And a burst of 1 urgent jobs of 2 tasks of 1 cores for 500 ms is submitted
    And 100 ms of workflow time pass
    Then 1 runs were preempted
    When the endpoint of the preempted run becomes unresponsive
    And the inspection of worker w1 gets no response
    And 2000 ms of workflow time pass
    Then 2 runs were preempted
    And a run of job "burst0" was ordered within 2000 ms
    And the metrics show expired holds
    When 30000 ms of workflow time pass
    Then long job "wide" has completed
    And no task ran twice at the same time

  # Guards against room that stays reserved for a step that no longer exists.
  Scenario: the urgent job is cancelled while room is freed for it
    Given a leader with urgent and long work
    And 2 workers of 4 cores
    And all runs take 200 ms to stop
    When checkpointing job "wide" of 4 tasks of 2 cores for 6000 ms is submitted to queue "long"
    And 1500 ms of workflow time pass
    And a burst of 1 urgent jobs of 2 tasks of 1 cores for 500 ms is submitted
    And 100 ms of workflow time pass
    Then 1 runs were preempted
    When job "burst0" is cancelled
    And 300 ms of workflow time pass
    Then 4 tasks are running
    And the metrics show no expired holds

  # Guards against a step that waits in vain for an endpoint that does not stop its runs.
  Scenario: the endpoint refuses the stop order
    Given a leader with urgent and long work
    And 4 workers of 4 cores
    And all runs take 200 ms to stop
    And worker w1 refuses stop orders
    And worker w2 refuses stop orders
    When checkpointing job "wide" of 8 tasks of 2 cores for 9000 ms is submitted to queue "long"
    And 1500 ms of workflow time pass
    And a burst of 1 urgent jobs of 2 tasks of 1 cores for 500 ms is submitted
    And 3000 ms of workflow time pass
    Then at most 3 runs were preempted
    And a run of job "burst0" was ordered within 3000 ms

  # Guards against a stopped run that counts as lost or failed although it has succeeded.
  Scenario: the victim ends by itself before it is stopped
    Given a leader with urgent and long work
    And 2 workers of 4 cores
    And all runs take 200 ms to stop
    When checkpointing job "wide" of 4 tasks of 2 cores for 6000 ms is submitted to queue "long"
    And 1500 ms of workflow time pass
    And stop orders are executed after the end of the runs
    And a burst of 1 urgent jobs of 2 tasks of 1 cores for 500 ms is submitted
    And 1000 ms of workflow time pass
    Then 1 runs were preempted
    And a run of job "burst0" was ordered within 400 ms
    When 20000 ms of workflow time pass
    Then long job "wide" has completed
    And no work of job "wide" was lost
    And no task of job "wide" was started more than once

  # Guards against stops and holds of an earlier leadership that outlive it in the same process.
  Scenario: the same instance is elected again while runs are being stopped
    Given a leader with urgent and long work
    And 4 workers of 4 cores
    And all runs take 200 ms to stop
    When checkpointing job "wide" of 8 tasks of 2 cores for 9000 ms is submitted to queue "long"
    And 1500 ms of workflow time pass
    And a burst of 2 urgent jobs of 2 tasks of 1 cores for 500 ms is submitted
    And 100 ms of workflow time pass
    And the workflow leader changes after 50 ms without a leader
    And the workflow leader changes after 50 ms without a leader
    And 3000 ms of workflow time pass
    Then at most 4 runs were preempted
    And a run of job "burst1" was ordered within 1000 ms
    When 20000 ms of workflow time pass
    Then long job "wide" has completed
    And no work of job "wide" was lost

  # Guards against stops by a leader that another may have replaced.
  Scenario: nothing is stopped without valid leadership
    Given a leader with urgent and long work
    And 4 workers of 4 cores
    When checkpointing job "wide" of 8 tasks of 2 cores for 6000 ms is submitted to queue "long"
    And 1100 ms of workflow time pass
    And a burst of 1 urgent jobs of 2 tasks of 1 cores for 500 ms is submitted
    And the workflow leader loses its majority
    And 100 ms of workflow time pass
    And stop orders are counted from now on
    And 500 ms of workflow time pass
    Then no stop order was sent
    And 0 runs were preempted

  # Guards against ends that are noticed late after a lost inspection, and against needless ones.
  Scenario: an endpoint is inspected at short intervals while one of its long runs is being stopped
    Then the inspection of an endpoint with a run of 6000 ms may wait for 2000 ms
    And the inspection of an endpoint with a run of 6000 ms that is being stopped may wait for 700 ms
