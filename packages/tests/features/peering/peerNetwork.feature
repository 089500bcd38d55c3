Feature: Calls between instances
  Guards against responses that are delivered to the wrong call, calls that hang, connections that
  stay unresponsive forever, and messages that are queued without limit.

  Scenario: responses that arrive out of order are matched to their calls
    Given two connected peers
    When 50 calls are made whose responses arrive in reverse order
    Then each call received its own response

  Scenario: an error thrown by a handler reaches the caller with its code and data
    Given two connected peers
    When peer b is called with method fail
    Then the call failed with PeerRemoteError, code 17 and data '{"leader":"c"}'
    When peer b is called with method missing
    Then the call failed with PeerRemoteError, code -32601 and data 'undefined'

  Scenario Outline: a refusal can be restored by the caller
    Given two connected peers
    When peer <peer> is called with method refuse
    Then the refusal can be restored from the error

    Examples:
      | peer |
      | a    |
      | b    |

  # Guards against a slow leader that cannot be told from one that never responds.
  Scenario: a late response is logged and otherwise ignored
    Given two connected peers
    When peer b is called with a timeout of 30 ms and responds after 90 ms
    Then the call failed with PeerTimeoutError
    And later calls receive their own responses while the late one arrives
    And peer a logged that the response to method delay came too late

  # Guards against calls to a leader that is being dialled which are sent to everyone else instead.
  Scenario Outline: a call waits for a connection that is being established, if it may
    When peer b is called as soon as it is dialled, with up to <time> ms for the connection
    Then the early call <outcome>

    Examples:
      | time | outcome   |
      | 1000 | succeeded |
      | 0    | failed    |

  Scenario: a call without a connection is reported as not sent
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
    When peer b is called and the connection is dropped before the response
    Then the call failed with PeerConnectionLostError
    And peer a can call peer b within 2000 ms

  Scenario Outline: an unresponsive connection is replaced while new ones work
    Given two connected peers
    When the open connections between the peers stop transferring data in direction <direction>
    And peer b is called with a timeout of 5000 ms and responds after 0 ms
    Then the call failed with PeerConnectionLostError
    And it failed within 2000 ms
    And peer a can call peer b within 2000 ms

    Examples:
      | direction   |
      | both        |
      | to-target   |
      | from-target |

  Scenario: an unresponsive connection is replaced in about two seconds with the default settings
    Given two connected peers with default timeouts
    When the open connections between the peers stop transferring data in direction both
    And peer b is called with a timeout of 9000 ms and responds after 0 ms
    Then the call failed with PeerConnectionLostError
    And it failed within 3000 ms
    And peer a can call peer b within 1000 ms

  Scenario: liveness follows the arrival of frames
    Given two connected peers
    When all traffic between the peers stops
    Then peer b becomes suspect for peer a
    When all traffic between the peers resumes
    Then peer b becomes alive for peer a

  Scenario: an idle connection is kept open by pings
    Given two connected peers
    When the peers make no calls for 1200 ms
    Then no connection has been replaced

  Scenario: oversized frames are rejected and the connection stays open
    Given two connected peers with frames of at most 1000 bytes
    When peer b is called with 2000 bytes
    Then the call failed with PeerUnavailableError
    When peer b is asked for a response of 2000 bytes
    Then the call failed with PeerRemoteError, code -32011 and data 'undefined'
    And no connection has been replaced

  Scenario: a full send buffer fails calls and drops notifications
    Given two connected peers with a send buffer of 5000 bytes
    When 20 calls and 20 notifications of 1000 bytes are sent in one event-loop iteration
    Then 4 calls succeeded and 16 calls failed with PeerUnavailableError
    And 20 notifications were dropped and counted

  Scenario: the frames of one event-loop iteration are written together
    Given two connected peers
    When 500 notifications are sent in one event-loop iteration
    Then the socket was written to once
    And peer b receives 500 notifications in order

  Scenario: an instance calls itself without using the network
    Given two connected peers
    When peer a calls itself
    Then the handler ran after the call returned its promise
    And no frames were counted for the call

  Scenario: closing a network sends the responses of finished calls and fails open calls
    Given two connected peers
    When peer b is closed while calls are open
    Then responses of finished calls arrived and open calls failed with PeerConnectionLostError

  Scenario Outline: a connection without a valid hello is rejected
    Given two connected peers
    When an unidentified client sends peer b <first frame>
    Then the client's connection is closed without a response
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
