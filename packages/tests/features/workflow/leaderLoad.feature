Feature: Load on the leader
  Guards against a saturated leader that spends its event loop on scheduling: its heartbeats are
  late, its validity ends, and calls time out although endpoints are free.

  Background:
    Given a workflow leader
    And 4 workers of 4 cores

  Scenario Outline: jobs at twice the capacity: most of the event loop is left for heartbeats and calls
    Given scheduling cycles that take <cycle> ms
    When jobs that need twice the capacity are submitted for 3000 ms
    Then scheduling cycles have taken at most <share> % of the time
    And at least 70 % of the capacity has been used

    Examples:
      | cycle | share |
      | 1     | 30    |
      | 5     | 30    |
      | 15    | 30    |
