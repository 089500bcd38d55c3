Feature: A reader of the logs that stands still
  Guards against a program that waits for whoever reads its output.

  Scenario: nothing is held up, and what is left out is counted
    Given a program that logs 20000 lines while nobody reads its output
    Then the program goes on, with no pause of its event loop above 1000 ms
    And the program has left out lines

  Scenario: everything is written while somebody reads
    Given a program that logs 500 lines while its output is read
    Then 500 lines of the program were read in order
