Feature: The whole path on the platform
  Guards against an adapter that works alone but not with the product: three replicas, a gateway,
  endpoints and an advisor talk over loopback.

  Scenario: a job goes from a caller to an endpoint and back
    Given a cell of the platform with 3 replicas and a gateway
    And 2 endpoints of the platform
    When the operator sends configuration 7
    And a caller hands in job "00000000000000aa" of 3 tasks with key "key-1"
    Then the job "00000000000000aa" becomes "completed" within 10 s
    And the endpoints started 3 tasks, each with a ticket
    And a caller with key "other" is answered 401
    And a call without a queue is answered 404
    And the configuration is read back from each replica as it was sent
    When the operator sends configuration 6
    Then the configuration is read back from each replica as it was sent

  Scenario: jobs survive the loss of the leader
    Given a cell of the platform with 3 replicas and a gateway
    And 2 endpoints of the platform
    When the operator sends configuration 7
    And a caller hands in job "00000000000000ab" of 3 tasks with key "key-1"
    And the leading replica stops
    Then the job "00000000000000ab" becomes "completed" within 15 s
    And the endpoints started 3 tasks, each with a ticket
