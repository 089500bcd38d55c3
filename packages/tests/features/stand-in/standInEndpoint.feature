Feature: Stand-in endpoint
  All tests of leases, fencing and doubled runs rest on this endpoint: if it kept tasks beyond its
  lease, accepted stale orders or forgot outcomes, faults of the system would be blamed or hidden.

  Background:
    Given a scripted gateway with a lease of 400 ms and heartbeats every 50 ms

  Scenario: it is announced with its key at the first gateway that answers
    Given the first gateway in the list of the stand-in refuses connections
    When the stand-in is started
    Then the gateway has got its announcement with its key and URL

  Scenario Outline: it is announced again when its session is unknown
    When the stand-in is started
    And the gateway answers one heartbeat with status <status>
    Then the gateway gets another announcement
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
    And the gateway has got 3 reports that 'a' has 'succeeded'
    And there is no further report of 'a'

  Scenario: tasks are stopped when the lease has run out
    When the stand-in is started
    And a service is started as 'a' with token 1
    And the gateway stops answering heartbeats
    Then 'a' ends as 'stopped' one lease after the last answered heartbeat was sent
    And a start order as 'b' with token 2 is answered with status 503

  Scenario: the lease counts from the time at which the heartbeat was sent
    When the stand-in is started
    And a service is started as 'a' with token 1
    And the gateway answers the next heartbeat 200 ms late and no other
    Then 'a' ends as 'stopped' one lease after the last answered heartbeat was sent

  Scenario Outline: an unusable answer renews no lease
    When the stand-in is started
    And a service is started as 'a' with token 1
    And the gateway answers heartbeats with '<answer>'
    Then 'a' ends as 'stopped' one lease after the last answered heartbeat was sent

    Examples:
      | answer                                               |
      | null                                                 |
      | {                                                    |
      | {"leaseMs":"400","acknowledged":[],"actions":[]}     |
      | {"leaseMs":400,"acknowledged":[],"actions":[{}]}     |

  Scenario: stale start orders are refused
    When the stand-in is started
    And a service is started as 'a' with token 5
    Then a start order as 'b' with token 5 is answered with status 409
    And a start order as 'c' with token 4 is answered with status 409
    And a start order as 'd' with token 6 is answered with status 201

  Scenario: an endpoint without fencing starts whatever it is given
    When the stand-in is started with '{"startsWhateverItIsGiven":true}'
    And a service is started as 'a' with token 5
    Then a start order as 'b' with token 5 is answered with status 201
    And the history shows the task running twice at a time

  Scenario: the history of a fencing endpoint shows no doubled run
    When the stand-in is started
    And a service is started as 'a' with token 5
    Then a start order as 'b' with token 5 is answered with status 409
    And the history shows no task running twice at a time

  Scenario Outline: actions end or throttle tasks
    When the stand-in is started
    And a service is started as 'a' with token 1
    And the gateway orders to <action> 'a'
    Then the gateway has got 1 reports that 'a' has '<outcome>'

    Examples:
      | action     | outcome      |
      | stop       | stopped      |
      | checkpoint | checkpointed |

  Scenario: a stop that overtakes its start order wins
    When the stand-in is started
    And the gateway orders to stop 'a'
    Then the gateway has got 1 reports that 'a' has 'stopped'
    And a start order as 'a' with token 1 is answered with status 409

  Scenario: a wrong usage is reported on demand
    When the stand-in is started with '{"usageFactor":3}'
    And a service is started as 'a' with token 1
    Then the gateway has seen 'a' running with 3 times its usage

  Scenario Outline: behaviours for tests
    When the stand-in is started with '<behaviour>'
    Then a request to the stand-in <result>

    Examples:
      | behaviour                     | result                            |
      | {}                            | is answered with status 200       |
      | {"failsEverything":true}      | is answered with status 500       |
      | {"slowMs":150}                | is answered after 150 ms          |
      | {"closesAfterFirstByte":true} | is cut off                        |
      | {"hangs":true}                | is not answered but listed running |

  Scenario: it leaves after its tasks have finished
    When the stand-in is started
    And a task that runs 200 ms is started as 'a' with token 1
    And the stand-in leaves
    Then the gateway has got its leave
    And the gateway has got 1 reports that 'a' has 'succeeded'

  Scenario: it runs in a process of its own
    When the stand-in is started as a process
    Then its first line tells its URL after the gateway has accepted it
    And a request to its URL leads to a start and an end in its output
    And the process leaves and ends by itself on SIGTERM

  Scenario: only valid heartbeat answers are accepted
    Then parsing accepts exactly the valid heartbeat answers
