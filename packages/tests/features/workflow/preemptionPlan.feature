Feature: Choice of the runs that are stopped for urgent work
  Each scenario states the waste or loss that a rule avoids. Freeing room takes 300 ms.

  # Guards against many stops where one frees enough.
  Scenario: one run that frees room for several tasks is preferred to several runs
    Given the running work
      | run  | endpoint | cores |
      | a1   | small    | 2     |
      | a2   | small    | 2     |
      | big1 | large    | 4     |
    When stops are planned for an urgent step of 2 tasks of 2 cores with a slack of 400 ms
    Then the runs "big1" are stopped
    And room is held on "large,large"

  Scenario: the run with the most slack is stopped
    Given the running work
      | run  | endpoint | cores | slack |
      | a1   | e1       | 2     | 2000  |
      | b1   | e2       | 2     | 9000  |
      | c1   | e3       | 2     | 4000  |
    When stops are planned for an urgent step of 1 tasks of 2 cores with a slack of 400 ms
    Then the runs "b1" are stopped

  # Guards against many jobs that are late where one would be.
  Scenario: further runs of a step that is delayed anyway are preferred
    Given the running work
      | run  | endpoint | cores | slack | step |
      | a1   | e1       | 2     | 9000  | a    |
      | b1   | e2       | 2     | 9000  | b    |
      | a2   | e3       | 2     | 8500  | a    |
    When stops are planned for an urgent step of 2 tasks of 2 cores with a slack of 400 ms
    Then the runs "a1,a2" are stopped

  # Guards against stops that cost more value than they save.
  Scenario Outline: a job that is late itself is delayed only if it loses less than the urgent one
    Given the running work
      | run  | endpoint | cores | slack | target   | remaining |
      | a1   | e1       | 2     | 0     | <target> | 800       |
    When stops are planned for an urgent step of 1 tasks of 2 cores with a slack of 400 ms
    Then the runs "<stopped>" are stopped

    Examples:
      | target | stopped |
      | 27000  | a1      |
      | 1000   |         |

  # Guards against stops before the step knows whether it needs them.
  Scenario: a step that can wait for longer has no run stopped
    Given the running work
      | run  | endpoint | cores |
      | a1   | e1       | 2     |
    When stops are planned for an urgent step of 1 tasks of 2 cores with a slack of 700 ms
    Then the runs "" are stopped

  Scenario: a step whose job has lost its value has no run stopped
    Given the running work
      | run  | endpoint | cores |
      | a1   | e1       | 2     |
    When stops are planned for an urgent step of 1 tasks of 2 cores with a slack of -2100 ms
    Then the runs "" are stopped

  Scenario: only the tasks that find no room in time have runs stopped
    Given the running work
      | run  | endpoint | cores | remaining |
      | a1   | e1       | 2     | 350       |
      | b1   | e2       | 2     | 5000      |
      | c1   | e3       | 2     | 5000      |
    When stops are planned for an urgent step of 2 tasks of 2 cores with a slack of 400 ms
    Then 1 run is stopped
    And room is held for 1 task

  # Guards against a stop for each step where the first one has freed enough for both.
  Scenario: a step uses the room that a stop for an earlier step frees besides
    Given the running work
      | run  | endpoint | cores |
      | a1   | e1       | 4     |
      | b1   | e2       | 4     |
    When stops are planned for an urgent step of 1 tasks of 2 cores with a slack of 400 ms
    And stops are planned for an urgent step of 1 tasks of 2 cores with a slack of 400 ms
    Then 1 run is stopped

  # Guards against stops of the same task again and again where others could be stopped.
  Scenario: a task that was stopped before is stopped after others
    Given the running work
      | run  | endpoint | cores | preemptions |
      | a1   | e1       | 2     | 1           |
      | b1   | e2       | 2     | 0           |
    When stops are planned for an urgent step of 1 tasks of 2 cores with a slack of 400 ms
    Then the runs "b1" are stopped

  Scenario: a run of the same priority is not stopped
    Given the running work
      | run  | endpoint | cores | priority |
      | a1   | e1       | 2     | 0        |
    When stops are planned for an urgent step of 1 tasks of 2 cores with a slack of 400 ms
    Then the runs "" are stopped

  Scenario: a step at the limit uses free room once a run of its organisation ends elsewhere
    Given the running work
      | run  | endpoint | cores | organisation |
      | a1   | e1       | 2     | other        |
      | b1   | e2       | 2     | own          |
    And a free endpoint "free" of 2 cores
    And the organisation is at its limit
    When stops are planned for an urgent step of 1 tasks of 2 cores with a slack of 400 ms on "free"
    Then the runs "b1" are stopped
    And room is held on "free"
