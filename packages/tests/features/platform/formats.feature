Feature: Document formats of the platform
  Guards against documents that are parsed wrongly: wrong types, truncated text, documents of
  another implementation.

  Scenario Outline: an invalid configuration is rejected with its fault
    When a configuration with <fault> is parsed
    Then parsing fails with "<message>"

    Examples:
      | fault                      | message                        |
      | truncated text             | is not JSON                    |
      | an unknown service         | names the unknown service      |
      | a duplicate route          | two routes share               |
      | a timeout of 0             | timeout_ms                     |
      | a key of two tenants       | share a key                    |
      | a version of type string   | version                        |

  Scenario: a valid configuration is converted
    When a configuration with no fault is parsed
    Then it has 2 queues and 1 organisation
    And queue 1 has priority 2, 4 attempts and advice that is valid for 2500 ms

  Scenario: a valid job is converted
    When a job of the platform is parsed
    Then it has 2 steps of which the second depends on the first
    And its second step is checkpointing and requires 2 cores

  Scenario Outline: an invalid job is rejected with its fault
    When a job with <fault> is parsed
    Then parsing fails with "<message>"

    Examples:
      | fault                        | message           |
      | truncated text               | is not JSON       |
      | no steps                     | steps             |
      | a count of 0                 | count             |
      | a dependency on a later step | does not precede  |

  Scenario Outline: an invalid heartbeat is rejected with its fault
    When a heartbeat with <fault> is parsed
    Then parsing fails with "<message>"

    Examples:
      | fault                  | message     |
      | truncated text         | is not JSON |
      | no address             | address     |
      | an unknown state       | state       |
      | a birth of type string | born        |
      | no capacity            | capacity    |

  Scenario: a valid heartbeat names the kind, rack and incarnation of its endpoint
    When a heartbeat with no fault is parsed
    Then its endpoint has kind "a", rack "r1-3" and incarnation 1700000000123

  Scenario: settings of an instance with a disk
    When settings with no fault are parsed
    Then the instance has a data folder, 3 seeds and leases of 4800 ms

  Scenario: seeds are reloaded while no leader responds
    Given a gateway with the seeds "10.0.0.1 10.0.0.2" and no leader
    When the settings file contains the seeds "10.0.0.8 10.0.0.9"
    And 9000 ms pass without a response from a leader
    Then the instances known to the gateway include the seeds "10.0.0.8 10.0.0.9"

  Scenario: settings without an instance address are rejected
    When settings with no address are parsed
    Then parsing fails with "ip"

  Scenario Outline: HTTP responses to callers
    Then a response of type "<type>" has status <status> and retry-after "<retry>"

    Examples:
      | type            | status | retry |
      | accepted        | 200    |       |
      | no-queue        | 404    |       |
      | no-job          | 410    |       |
      | unauthenticated | 401    |       |
      | refused         | 429    | 2     |
      | not-configured  | 503    | 1     |
      | unavailable     | 503    | 2     |
      | unknown         | 504    |       |

  Scenario: a response that arrived while the process was blocked does not time out
    Given a server that responds and then blocks the process for 200 ms
    Then a call to it with a timeout of 100 ms gets status 200

  Scenario: a call without a response times out
    Given a server that never responds
    Then a call to it with a timeout of 50 ms fails with "no response within 50 ms"

  # A saturated process takes several turns of its event loop to connect; the time must not count
  # as that of a response, which would close the connection and delay the next call as well.
  Scenario: the timeout of a call counts from the moment at which it is sent
    Given a server that responds after 300 ms
    Then 5 calls to it at once with a timeout of 500 ms get status 200

  Scenario: a call that gets no connection fails without being sent
    Given a server that never responds
    When 4 calls to it with a timeout of 5000 ms are in progress
    Then a call to it with a timeout of 50 ms fails with "no connection within 500 ms"

  Scenario: a start order that cannot be sent is known not to have arrived
    Given a server that has stopped
    Then a start order to it has the outcome "not-sent"
