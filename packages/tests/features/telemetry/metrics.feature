Feature: Metrics
  Guards against undocumented metrics, which operators cannot use, and against labels with unbounded
  values, which exhaust memory.

  Scenario: the documentation lists every registered metric
    Then "docs/metrics.md" lists each metric with its type, labels and meaning

  Scenario: unknown label values are counted under one label value
    Given metrics without process metrics
    When 1000 peer messages with random methods are counted
    Then the metric "lagoongap_peer_messages_total" has 1 series

  Scenario: teams beyond the limit are exported under one label value
    Given metrics without process metrics
    When the metrics of 400 teams are set
    Then the metric "lagoongap_team_share_ratio" has 251 series

  Scenario: a withdrawn team is no longer exported
    Given metrics without process metrics
    When the metrics of 3 teams are set
    And the metrics of 1 teams are set
    Then the metric "lagoongap_team_running" has 1 series

  Scenario: validity is read when metrics are rendered and is never negative
    Given metrics without process metrics
    When the gateway validity is 1500 ms and the leader validity -20 ms
    Then the metrics contain "lagoongap_gateway_validity_remaining_seconds 1.5"
    And the metrics contain "lagoongap_leader_validity_remaining_seconds 0"

  Scenario: durations are exported in seconds
    Given metrics without process metrics
    When a waiting time of 2500 ms is observed for a batch unit
    Then the metrics contain 'lagoongap_waiting_seconds_sum{kind="batch"} 2.5'
