Feature: Calls between instances
  Guards against answers that reach the wrong call, calls that hang, connections that stay silent
  for good, and messages that pile up without bound.

  Scenario: answers out of order reach their own calls
    Given two connected peers
    When 50 calls are made whose answers come in reverse order
    Then each call got its own answer

  Scenario: an error of a handler reaches the caller with code and data
    Given two connected peers
    When peer b is called with method fail
    Then the call failed with PeerRemoteError, code 17 and data '{"leader":"c"}'
    When peer b is called with method missing
    Then the call failed with PeerRemoteError, code -32601 and data 'undefined'

  Scenario Outline: a refusal can be rebuilt by the caller
    Given two connected peers
    When peer <peer> is called with method refuse
    Then the refusal can be rebuilt from the error

    Examples:
      | peer |
      | a        |
      | b        |

  Scenario: a late answer is ignored
    Given two connected peers
    When peer b is called with a deadline of 30 ms and answers after 90 ms
    Then the call failed with PeerTimeoutError
    And later calls get their own answers while the late one arrives

  Scenario: a call without a connection has certainly not been sent
    Given two connected peers
    When peer b has stopped
    And peer b is called with method echo
    Then the call failed with PeerUnavailableError
    When peer x is called with method echo
    Then the call failed with PeerUnavailableError
    When peer b has started again
    Then peer a can call peer b within 2000 ms

  Scenario: a lost connection fails the call and is replaced
    Given two connected peers
    When peer b is called and the connection is dropped before the answer
    Then the call failed with PeerConnectionLostError
    And peer a can call peer b within 2000 ms

  Scenario Outline: a silent connection is replaced while new ones work
    Given two connected peers
    When the open connections between the peers go silent <direction>
    And peer b is called with a deadline of 5000 ms and answers after 0 ms
    Then the call failed with PeerConnectionLostError
    And it failed within 2000 ms
    And peer a can call peer b within 2000 ms

    Examples:
      | direction   |
      | both        |
      | to-target   |
      | from-target |

  Scenario: a silent connection is replaced in about two seconds with the default settings
    Given two connected peers with default durations
    When the open connections between the peers go silent both
    And peer b is called with a deadline of 9000 ms and answers after 0 ms
    Then the call failed with PeerConnectionLostError
    And it failed within 3000 ms
    And peer a can call peer b within 1000 ms

  Scenario: liveness follows the frames
    Given two connected peers
    When all traffic between the peers stops
    Then peer b becomes suspect for peer a
    When all traffic between the peers flows again
    Then peer b becomes alive for peer a

  Scenario: an idle connection is kept by pings
    Given two connected peers
    When the peers make no calls for 1200 ms
    Then no connection has been replaced

  Scenario: frames that are too large are refused and the connection stays
    Given two connected peers with frames of at most 1000 bytes
    When peer b is called with 2000 bytes
    Then the call failed with PeerUnavailableError
    When peer b is asked for an answer of 2000 bytes
    Then the call failed with PeerRemoteError, code -32011 and data 'undefined'
    And no connection has been replaced

  Scenario: a full send buffer fails calls and drops notifications
    Given two connected peers with a send buffer of 5000 bytes
    When 20 calls and 20 notifications of 1000 bytes are sent in one turn
    Then 4 calls succeeded and 16 calls failed with PeerUnavailableError
    And 20 notifications were dropped and counted

  Scenario: the frames of one turn are written together
    Given two connected peers
    When 500 notifications are sent in one turn
    Then the socket was written to once
    And peer b receives 500 notifications in order

  Scenario: an instance calls itself without the network
    Given two connected peers
    When peer a calls itself
    Then the handler ran after the call returned its promise
    And no frames were counted for the call

  Scenario: closing a network sends finished answers and fails open calls
    Given two connected peers
    When peer b is closed while calls are open
    Then finished answers arrived and open calls failed with PeerConnectionLostError

  Scenario Outline: a stranger is turned away
    Given two connected peers
    When a stranger sends peer b <first frame>
    Then the stranger's connection is closed without an answer
    And peer a can call peer b within 1000 ms

    Examples:
      | first frame                                                   |
      | {"control":"hello","protocol":1,"from":"a","to":"c"}          |
      | {"control":"hello","protocol":1,"from":"x","to":"b"}          |
      | {"control":"hello","protocol":9,"from":"a","to":"b"}          |
      | {"jsonrpc":"2.0","id":1,"method":"echo","params":1}           |
      | [1]                                                           |
      | a frame of 5000 bytes                                         |
      | a length of 4294967295 bytes                                  |
      | nothing                                                       |
