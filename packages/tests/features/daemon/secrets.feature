@processes
Feature: Secrets of keys
  Guards against keys that leak through logs, refusals, metrics or the data folder, where people and
  programs without the key can read them.

  Scenario: no secret of a key in use is found outside the process
    Given a cell of 3 daemons that log at debug level
    And 1 stand-in runners
    When every key is sent in valid and in invalid requests to every instance
    And a note that contains the secrets instead of their hashes is submitted
    And every key except the operator key is withdrawn and sent again
    And an instance is drained
    Then no secret is found in the logs, the responses, the metrics or the data folders
