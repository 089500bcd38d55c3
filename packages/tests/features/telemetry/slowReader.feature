Feature: Slow log reader
  Guards against a process that blocks when the reader of its log output stops reading.

  Scenario: the process does not block, and dropped lines are counted
    Given a program that logs 20000 lines while its output is not read
    Then the program finishes without an event-loop pause above 1000 ms
    And the program has dropped lines

  Scenario: all lines are written while the output is read
    Given a program that logs 500 lines while its output is read
    Then 500 lines of the program were read in order

  # Guards against logs that keep the successes of a burst and lose the change of leader behind it.
  Scenario: changes of leader and failures are kept while routine lines are dropped
    Given a program that logs 20000 lines, every 100th a change or failure, while its output is not read
    When its output is read in the end
    Then 200 lines about changes and failures were read
    And the output tells how many lines of each level were left out
