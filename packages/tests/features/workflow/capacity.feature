Feature: Endpoints whose capacity changes
  Guards against starts beyond the capacity that an endpoint reports now: its capacity may shrink
  and grow while it runs, and the endpoint itself may start whatever it is ordered to.

  Background:
    Given a workflow leader

  Scenario: a committed start that no longer fits is not ordered
    Given 1 workers of 4 cores
    And starts are committed late
    When job "j" of 4 tasks is submitted
    And 50 ms of workflow time pass
    And worker w1 reports a capacity of 2 cores
    And the late starts are committed
    Then 2 runs were started
    When 3000 ms of workflow time pass
    Then job "j" is "completed"
    And no start exceeded the capacity of a worker

  Scenario: a gang of which one member no longer fits is not ordered in part
    Given 2 workers of 2 cores
    And starts are committed late
    When gang job "g" of 4 tasks is submitted
    And 50 ms of workflow time pass
    And worker w1 reports a capacity of 1 cores
    And the late starts are committed
    And 3000 ms of workflow time pass
    Then 0 runs were started
    When worker w1 reports a capacity of 2 cores
    And 2000 ms of workflow time pass
    Then job "g" is "completed"
    And no start exceeded the capacity of a worker

  Scenario: a new leader ignores a late heartbeat with a larger capacity
    Given 1 workers of 4 cores
    When worker w1 reports a capacity of 2 cores
    And an earlier heartbeat of worker w1 with 4 cores arrives at the new leader
    And job "j" of 4 tasks is submitted
    And 300 ms of workflow time pass
    Then 2 runs were started
    And no start exceeded the capacity of a worker

  Scenario: an endpoint that shrinks below what runs keeps its runs and gets no more
    Given 1 workers of 4 cores
    When job "j" of 4 tasks of 2000 ms is submitted
    And 100 ms of workflow time pass
    And worker w1 reports a capacity of 2 cores
    And job "k" of 4 tasks is submitted
    And 1500 ms of workflow time pass
    Then 4 tasks are running
    And 4 runs were started
    When 10000 ms of workflow time pass
    Then job "j" is "completed"
    And job "k" is "completed"
    And no task was started more than once
    And no start exceeded the capacity of a worker

  Scenario: an endpoint that shrinks below what runs gets no best-effort task either
    Given 1 workers of 4 cores
    When job "j" of 4 tasks of 2000 ms is submitted
    And 100 ms of workflow time pass
    And worker w1 reports a capacity of 2 cores
    And best-effort job "b" of 1 tasks is submitted
    And 1500 ms of workflow time pass
    Then 4 runs were started

  Scenario: a job that fits nowhere any more waits until an endpoint grows again
    Given 1 workers of 4 cores
    When worker w1 reports a capacity of 2 cores
    And job "j" of 1 tasks of 4 cores is submitted
    And 30000 ms of workflow time pass
    Then job "j" is "queued"
    When worker w1 reports a capacity of 4 cores
    And 1000 ms of workflow time pass
    Then job "j" is "completed"

  Scenario: a new leader starts nothing beyond a capacity that has shrunk
    Given 2 workers of 4 cores
    When job "j" of 8 tasks of 2000 ms is submitted
    And 100 ms of workflow time pass
    And worker w1 reports a capacity of 2 cores
    And the workflow leader changes
    And job "k" of 8 tasks is submitted
    And 12000 ms of workflow time pass
    Then job "k" is "completed"
    And no start exceeded the capacity of a worker

  Scenario: what is being stopped still counts against a capacity that has shrunk
    Given 1 workers of 4 cores
    When job "j" of 4 tasks of 20000 ms is submitted
    And 100 ms of workflow time pass
    And worker w1 reports a capacity of 2 cores
    And job "j" is cancelled
    And job "k" of 4 tasks is submitted
    And 3000 ms of workflow time pass
    Then no start exceeded the capacity of a worker

  # Guards against queries to the advisor about endpoints that can take no task.
  Scenario Outline: an endpoint with less than nothing free in any dimension has no slots
    Then an endpoint with <cores> cores, <memory> MiB and <accelerators> accelerators free has <slots> slots for <tasks> tasks

    Examples:
      | cores | memory | accelerators | slots | tasks         |
      | 2     | 100    | 0            | 2     | 4 plain       |
      | -1    | 100    | 0            | 0     | 4 plain       |
      | 2     | -1     | 0            | 0     | 4 plain       |
      | 2     | 100    | -1           | 0     | 4 plain       |
      | 0     | 100    | 0            | 4     | 4 best-effort |
      | -1    | 100    | 0            | 0     | 4 best-effort |

  Scenario: a committed start is not ordered at an endpoint that has begun to drain
    Given 2 workers of 4 cores
    And starts are committed late
    When job "j" of 8 tasks is submitted
    And 50 ms of workflow time pass
    And worker w1 is draining
    And the late starts are committed
    And 3000 ms of workflow time pass
    Then job "j" is "completed"
    And worker w1 has started no first run

  Scenario: a committed copy of a task that has succeeded meanwhile is not ordered
    Given 2 workers of 4 cores
    And worker w2 completes new tasks after 20000 ms
    When job "j" of 4 tasks that may be copied is submitted
    And 20 ms of workflow time pass
    And starts are committed late
    And worker w1 becomes unresponsive
    And 3000 ms of workflow time pass
    And worker w1 responds again
    And 1500 ms of workflow time pass
    And the late starts are committed
    And 100 ms of workflow time pass
    Then no worker has started run "j.0.0.2:2"
