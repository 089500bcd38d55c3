Feature: Stand-in endpoint
  The tests of leases, fencing and duplicate runs depend on this endpoint. If it ran tasks beyond its
  lease, accepted stale orders or lost outcomes, those tests would report false faults or hide real
  ones.

  Background:
    Given a scripted gateway with a lease of 400 ms and heartbeats every 50 ms

  Scenario: the endpoint announces itself with its key to the first responsive gateway
    Given the first gateway in the list of the stand-in refuses connections
    When the stand-in is started
    Then the gateway has received its announcement with its key and URL

  Scenario Outline: the endpoint announces itself again when its session is unknown
    When the stand-in is started
    And the gateway responds to one heartbeat with status <status>
    Then the gateway receives another announcement
    And later heartbeats carry the new session

    Examples:
      | status |
      | 404    |
      | 410    |

  Scenario: finished tasks are reported until they are acknowledged
    Given the gateway acknowledges only the third report of an attempt
    When the stand-in is started
    And a task that runs 100 ms is started as 'a' with token 1
    Then the gateway has seen 'a' running with its usage
    And the gateway has received 3 reports that 'a' has 'succeeded'
    And there is no further report of 'a'

  Scenario: tasks are stopped when the lease expires
    When the stand-in is started
    And a service is started as 'a' with token 1
    And the gateway stops accepting heartbeats
    Then 'a' ends as 'stopped' one lease after the last successful heartbeat was sent
    And a start order as 'b' with token 2 gets a response with status 503

  Scenario: the lease starts when the heartbeat is sent
    When the stand-in is started
    And a service is started as 'a' with token 1
    And the gateway responds to the next heartbeat 200 ms late and rejects all others
    Then 'a' ends as 'stopped' one lease after the last successful heartbeat was sent

  Scenario Outline: an invalid response does not renew the lease
    When the stand-in is started
    And a service is started as 'a' with token 1
    And the gateway responds to heartbeats with '<response>'
    Then 'a' ends as 'stopped' one lease after the last successful heartbeat was sent

    Examples:
      | response                                             |
      | null                                                 |
      | {                                                    |
      | {"leaseMs":"400","acknowledged":[],"actions":[]}     |
      | {"leaseMs":400,"acknowledged":[],"actions":[{}]}     |

  Scenario: stale start orders are refused
    When the stand-in is started
    And a service is started as 'a' with token 5
    Then a start order as 'b' with token 5 gets a response with status 409
    And a start order as 'c' with token 4 gets a response with status 409
    And a start order as 'd' with token 6 gets a response with status 201

  Scenario: an endpoint without fencing starts every order that it receives
    When the stand-in is started with '{"startsWhateverItIsGiven":true}'
    And a service is started as 'a' with token 5
    Then a start order as 'b' with token 5 gets a response with status 201
    And the history shows the task running twice concurrently

  Scenario: the history of an endpoint with fencing shows no concurrent runs of a task
    When the stand-in is started
    And a service is started as 'a' with token 5
    Then a start order as 'b' with token 5 gets a response with status 409
    And the history shows no task running twice concurrently

  Scenario Outline: actions end or throttle tasks
    When the stand-in is started
    And a service is started as 'a' with token 1
    And the gateway orders to <action> 'a'
    Then the gateway has received 1 reports that 'a' has '<outcome>'

    Examples:
      | action     | outcome      |
      | stop       | stopped      |
      | checkpoint | checkpointed |

  Scenario: a stop that arrives before its start order prevents the start
    When the stand-in is started
    And the gateway orders to stop 'a'
    Then the gateway has received 1 reports that 'a' has 'stopped'
    And a start order as 'a' with token 1 gets a response with status 409

  Scenario: an endpoint can be configured to report an incorrect usage
    When the stand-in is started with '{"usageFactor":3}'
    And a service is started as 'a' with token 1
    Then the gateway has seen 'a' running with 3 times its usage

  Scenario Outline: configurable behaviours for tests
    When the stand-in is started with '<behaviour>'
    Then a request to the stand-in <result>

    Examples:
      | behaviour                     | result                                    |
      | {}                            | gets a response with status 200           |
      | {"failsEverything":true}      | gets a response with status 500           |
      | {"slowMs":150}                | gets a response after 150 ms              |
      | {"closesAfterFirstByte":true} | is cut off                                |
      | {"hangs":true}                | gets no response but is listed as running |

  Scenario: the endpoint leaves after its tasks have finished
    When the stand-in is started
    And a task that runs 200 ms is started as 'a' with token 1
    And the stand-in leaves
    Then the gateway has received its leave request
    And the gateway has received 1 reports that 'a' has 'succeeded'

  Scenario: the endpoint runs in a separate process
    When the stand-in is started as a process
    Then its first output line contains its URL after the gateway has accepted it
    And a request to its URL adds a start and an end to its output
    And the process leaves and exits on SIGTERM

  Scenario: only valid heartbeat responses are accepted
    Then the parser accepts exactly the valid heartbeat responses
