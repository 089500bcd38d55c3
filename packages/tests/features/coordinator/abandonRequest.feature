Feature: Abandoned requests
  Guards against reserved resources that are never released: a gateway abandons a request while its
  placement is being committed, and the leader changes before the placement is closed.

  Background:
    Given a leader whose commits are delayed
    And a request whose placement is being committed

  Scenario: abandoning is acknowledged only after the placement is closed
    When the gateway abandons the request
    Then abandoning is not acknowledged
    When the delayed commits succeed
    Then abandoning is acknowledged and no attempt is left

  Scenario: abandoning fails when leadership is lost, so that the gateway informs the next leader
    When the gateway abandons the request
    And leadership is lost
    Then abandoning is refused
