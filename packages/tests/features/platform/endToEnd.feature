Feature: End-to-end operation on the platform
  Guards against an adapter that works in isolation but not with the product: three replicas, a
  gateway, endpoints and an advisor communicate over loopback.

  Scenario: a submitted job runs on the endpoints and completes
    Given a cell of the platform with 3 replicas and a gateway
    And 2 endpoints of the platform
    When the operator sends configuration 7
    And a caller submits job "00000000000000aa" of 3 tasks with key "key-1"
    Then the job "00000000000000aa" becomes "completed" within 10 s
    And the endpoints started 3 tasks, each with a ticket
    And a caller with key "other" gets status 401
    And a call without a queue gets status 404
    And each replica returns the configuration as it was first sent
    When the operator sends configuration 6
    Then each replica returns the configuration as it was first sent

  Scenario: jobs survive the loss of the leader
    Given a cell of the platform with 3 replicas and a gateway
    And 2 endpoints of the platform
    When the operator sends configuration 7
    And a caller submits job "00000000000000ab" of 3 tasks with key "key-1"
    And the leading replica stops
    Then the job "00000000000000ab" becomes "completed" within 15 s
    And the endpoints started 3 tasks, each with a ticket

  # Guards against an evacuation that is acknowledged and lost with a process.
  Scenario: an evacuation survives the restart of all replicas
    Given a cell of the platform with 3 replicas and a gateway
    And 2 endpoints of the platform
    When the operator sends configuration 7
    And the operator begins the evacuation of "z-a" at replica 1
    And the operator begins the evacuation of "z-a" at replica 2
    And all replicas restart
    And a caller submits job "00000000000000ac" of 3 tasks with key "key-1"
    And 3 s pass
    Then the endpoints started no task
    When the operator ends the evacuation of "z-a" at replica 3
    Then the job "00000000000000ac" becomes "completed" within 10 s
    When the operator ends the evacuation of "z-a" at replica 1
