Feature: Requests that are given up
  Guards against a place that stays reserved for ever because a request was given up
  while its placement was being committed and the leader changed before it was closed.

  Background:
    Given a leader whose commits are held back
    And a request whose placement is being committed

  Scenario: giving up is not acknowledged before the placement is settled
    When the gateway gives the request up
    Then giving up is not acknowledged
    When the held commits succeed
    Then giving up is acknowledged and no attempt is left

  Scenario: giving up fails with the leadership, so that the gateway tells the next leader
    When the gateway gives the request up
    And leadership is lost
    Then giving up is refused
