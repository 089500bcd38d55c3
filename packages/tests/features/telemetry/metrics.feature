Feature: Metrics
  Guards against undocumented metrics, which operators cannot use, and against labels with unbounded
  values, which exhaust memory.

  Scenario: the documentation lists every registered metric
    Then "docs/metrics.md" lists each metric with its type, labels and meaning

  Scenario: the documentation lists every metric of workflows
    Then "docs/workflow-metrics.md" lists each workflow metric with its type, labels and meaning

  Scenario: the waiting steps of a priority that no longer exists are not exported
    Given workflow metrics
    When 3 steps of priority 0 and 2 steps of priority 4 wait
    And 1 steps of priority 4 and 1 steps of priority 7 wait
    Then the workflow metrics contain 'lagoongap_waiting_steps{priority="4"} 1'
    And the workflow metrics contain 'lagoongap_longest_wait_seconds{priority="7"} 0.5'
    And the workflow metrics contain no 'lagoongap_waiting_steps{priority="0"} 3'

  # Guards against outages whose length and cause nobody can tell afterwards.
  Scenario: the time without a valid leader is counted, with the reasons of the failed tries
    Given an instance that calls the leader
    When a try at the leader fails after 300 ms because it "timed-out"
    And a try at the leader fails after 100 ms because it was "leader-not-valid"
    Then the workflow metrics contain "lagoongap_without_leader 1"
    And the workflow metrics contain "lagoongap_without_leader_seconds_total 0.4"
    When the leader responds 50 ms later
    And the leader responds 5000 ms later
    Then the workflow metrics contain "lagoongap_without_leader 0"
    And the workflow metrics contain "lagoongap_without_leader_seconds_total 0.45"
    And the workflow metrics contain 'lagoongap_leader_try_failures_total{reason="timed-out"} 1'
    And the log tells that there was no valid leader for 450 ms

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
