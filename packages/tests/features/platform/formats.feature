Feature: Formats of the platform
  Guards against messages that are misread: wrong types, cut texts, rows of another writer.

  Scenario Outline: an invalid configuration names its fault
    When a configuration with <fault> is read
    Then reading it fails with "<message>"

    Examples:
      | fault                      | message                        |
      | a cut text                 | is not JSON                    |
      | an unknown service         | names the unknown service      |
      | two routes at one place    | two routes share               |
      | a time-out of 0            | timeout_ms                     |
      | a key of two tenants       | share a key                    |
      | a version that is a text   | version                        |

  Scenario: a valid configuration is read into the product's words
    When a configuration with no fault is read
    Then it has 2 queues and 1 organisation
    And queue 1 has priority 2, 4 attempts and advice that lasts 2500 ms

  Scenario: a job is read into the product's words
    When a job of the platform is read
    Then it has 2 steps of which the second follows the first
    And its second step is checkpointing and takes 2 cores

  Scenario Outline: an invalid job is refused
    When a job with <fault> is read
    Then reading it fails with "<message>"

    Examples:
      | fault                  | message           |
      | a cut text             | is not JSON       |
      | no steps               | steps             |
      | a count of 0           | count             |
      | a step before itself   | does not precede  |

  Scenario Outline: a heartbeat of another writer names no endpoint
    When a heartbeat with <fault> is read
    Then reading it fails with "<message>"

    Examples:
      | fault                  | message     |
      | a cut text             | is not JSON |
      | no address             | address     |
      | an unknown state       | state       |
      | a birth that is a text | born        |
      | no capacity            | capacity    |

  Scenario: a heartbeat is read with its life, kind and rack
    When a heartbeat with no fault is read
    Then its endpoint has kind "a", rack "r1-3" and birth 1700000000123

  Scenario: settings of an instance with a disk
    When settings with no fault are read
    Then the instance has a data folder, 3 seeds and leases of 4800 ms

  Scenario: seeds are exchanged while no leader answers
    Given a gateway that knows the seeds "10.0.0.1 10.0.0.2" and no leader
    When the settings file names the seeds "10.0.0.8 10.0.0.9"
    And 9000 ms pass without an answer of a leader
    Then the gateway knows the seeds "10.0.0.8 10.0.0.9" as well

  Scenario: settings without the address of an instance are refused
    When settings with no address are read
    Then reading it fails with "ip"

  Scenario Outline: answers to callers
    Then an answer "<answer>" has status <status> and retry time "<retry>"

    Examples:
      | answer          | status | retry |
      | accepted        | 200    |       |
      | no-queue        | 404    |       |
      | no-job          | 410    |       |
      | unauthenticated | 401    |       |
      | refused         | 429    | 2     |
      | not-configured  | 503    | 1     |
      | unavailable     | 503    | 2     |
      | unknown         | 504    |       |

  Scenario: an answer that came while the process stood still is not given up
    Given a server that answers and then keeps the process busy for 200 ms
    Then a call to it with a timeout of 100 ms is answered 200

  Scenario: a call that gets no answer is given up
    Given a server that never answers
    Then a call to it with a timeout of 50 ms fails with "no answer within 50 ms"
