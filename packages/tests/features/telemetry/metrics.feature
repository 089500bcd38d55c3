Feature: Metrics
  An undocumented metric is of no use to an operator, and an unbounded label exhausts memory.

  Scenario: the documentation lists each metric of the registry
    Then "docs/metrics.md" lists each metric with its type, labels and meaning

  Scenario: unknown label values are counted together
    Given metrics without process metrics
    When 1000 peer messages with random methods are counted
    Then the metric "lagoongap_peer_messages_total" has 1 series

  Scenario: teams beyond the bound are shown together
    Given metrics without process metrics
    When 400 teams are shown
    Then the metric "lagoongap_team_share_ratio" has 251 series

  Scenario: a withdrawn team disappears
    Given metrics without process metrics
    When 3 teams are shown
    And 1 teams are shown
    Then the metric "lagoongap_team_running" has 1 series

  Scenario: validity is read when metrics are read and never negative
    Given metrics without process metrics
    When the gateway validity is 1500 ms and the leader validity -20 ms
    Then the metrics contain "lagoongap_gateway_validity_remaining_seconds 1.5"
    And the metrics contain "lagoongap_leader_validity_remaining_seconds 0"

  Scenario: durations are written in seconds
    Given metrics without process metrics
    When a batch unit has waited 2500 ms
    Then the metrics contain 'lagoongap_waiting_seconds_sum{kind="batch"} 2.5'
