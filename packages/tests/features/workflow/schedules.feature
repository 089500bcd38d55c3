Feature: Schedules with many occurrences
  Guards against recurring jobs whose cost follows what was asked for instead of what can run next.

  Background:
    Given a workflow leader

  # Guards against a leader that evaluates every due occurrence, and all of them at each change.
  Scenario Outline: a schedule of which many occurrences are due leaves the leader free
    Given 4 workers of 4 cores
    When job "s" of 1 task that was due <count> times is submitted
    And 300 ms of workflow time pass
    And job "other" of 4 tasks is submitted
    And 2000 ms of workflow time pass
    Then job "other" is "completed"
    And at most 64 steps are ready
    And job "s" has records of at most 200 steps
    When the workflow leader changes
    And job "later" of 4 tasks is submitted
    And 2000 ms of workflow time pass
    Then job "later" is "completed"
    And job "s" is "running"

    Examples:
      | count   |
      | 525600  |
      | 1000000 |

  # Guards against occurrences that are lost, or run twice, as their records are removed.
  Scenario Outline: all due occurrences run once, and their records are removed
    Given 4 workers of 8 cores
    When <kind> "s" of <tasks> tasks of 20 ms that was due <count> times is submitted
    And 1000 ms of workflow time pass
    And the state is restored from a snapshot of <release>
    And 9000 ms of workflow time pass
    Then job "s" is "completed"
    And no task was started more than once
    And <starts> runs were started
    And job "s" has records of at most 0 steps

    Examples:
      | kind     | tasks | count | starts | release              |
      | job      | 1     | 3000  | 3000   | this release         |
      | job      | 1     | 3000  | 3000   | the previous release |
      | job      | 3     | 300   | 900    | the previous release |
      | gang job | 4     | 200   | 800    | this release         |

  # Guards against a window that is filled by steps that cannot start.
  Scenario: occurrences whose second step cannot start do not hold back the first steps of others
    Given 4 workers of 8 cores
    When job "s" with a second step that no worker may run, which was due 400 times, is submitted
    And 9000 ms of workflow time pass
    Then 400 runs were started
    And job "s" is "running"

  Scenario: occurrences that never complete are bounded, and others use their capacity
    Given 4 workers of 8 cores
    When job "s" with a second step that no worker may run, which was due 525600 times, is submitted
    And 9000 ms of workflow time pass
    Then 2048 runs were started
    When job "other" of 4 tasks is submitted
    And 2000 ms of workflow time pass
    Then job "other" is "completed"

  Scenario Outline: occurrences start when they are due
    Given 4 workers of 8 cores
    When job "s" of 1 task is submitted for <count> times, <interval> ms apart
    And 90 ms of workflow time pass
    Then 0 runs were started
    When <elapsed> ms of workflow time pass
    Then <started> runs were started
    When 4000 ms of workflow time pass
    Then job "s" is "completed"
    And <count> runs were started

    Examples:
      | count | interval | elapsed | started |
      | 3     | 333.4    | 200     | 1       |
      | 40    | 0        | 100     | 32      |
      | 40    | 0.001    | 100     | 32      |

  # Guards against a copy that begins its occurrence anew, as its start is committed after the end.
  Scenario: the start of a copy is committed after its occurrence has completed
    When job "s" of 1 task that was due 2 times is submitted
    And the start of run 1 of task "s.0.0.0" is committed
    And the start of run 2 of task "s.0.0.0" is committed
    And the end of run 1 of task "s.0.0.0" is committed
    Then job "s" has records of at most 1 step
    When the end of run 2 of task "s.0.0.0" is committed
    Then job "s" has records of at most 0 steps
    When the start of run 3 of task "s.0.0.0" is committed
    Then run 3 of task "s.0.0.0" is recorded, and the task is done
    When the end of run 3 of task "s.0.0.0" is committed
    Then job "s" has records of at most 0 steps
    And job "s" has 1 open step

  Scenario: ranges of occurrences contain what was added
    Then ranges of random occurrences are exact, disjoint and in order
