@processes
Feature: Secrets of keys
  Guards against secrets that leak through log records, refusals, metrics or the data folder,
  where people and programs without the key can read them.

  Scenario: no secret of any key in use is found outside the process
    Given a cell of 3 daemons that log everything
    And 1 stand-in runners
    When every key is presented well and badly to every instance
    And a note that holds the secrets in place of their hashes is submitted
    And every key that is not an operator's is withdrawn and presented again
    And an instance is drained
    Then no secret is found in the logs, in the answers, in the metrics or in the data folders
