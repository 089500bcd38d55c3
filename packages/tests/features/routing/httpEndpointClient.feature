Feature: HTTP exchanges with endpoints
  Guards against a wrong run state, with which a caller repeats work that has run or drops work that
  has not, and against a truncated response that is passed on as complete, such as half a
  certificate.

  Background:
    Given an HTTP endpoint client

  Scenario: a response is relayed completely
    Given a healthy endpoint for the client
    When the client relays 'hello'
    Then the relayed response is 'echo:hello'

  Scenario: bodies are streamed in both directions under backpressure
    Given a healthy endpoint for the client
    When the client relays 8 MiB in chunks to a slow receiver
    Then the relayed response is the echo of all chunks

  Scenario Outline: a truncated response is reported as an error
    Given an endpoint that responds with headers '<head>' and body '<body>' and closes by <close>
    When the client relays 'hello'
    Then the exchange fails with 'answer-cut' and run state 'unknown'

    Examples:
      | head                                           | body              | close |
      | content-length: 9                              | short             | FIN   |
      | content-length: 9                              | short             | RST   |
      | content-length: 9;connection: close            | short             | FIN   |
      | transfer-encoding: chunked                     | 5;short;          | FIN   |
      | transfer-encoding: chunked;connection: close   | 5;short;          | FIN   |
      | transfer-encoding: chunked;connection: close   | 5;short;          | RST   |
      | transfer-encoding: chunked;connection: close   | 9;short           | FIN   |
      | transfer-encoding: chunked;connection: close   | 5;short;0;        | FIN   |
      | connection: close                              | short             | FIN   |

  Scenario Outline: a complete response on a closing connection is accepted
    Given an endpoint that responds with headers '<head>' and body '<body>' and closes by FIN
    When the client relays 'hello'
    Then the relayed response is 'whole'

    Examples:
      | head                                         | body          |
      | content-length: 5;connection: close          | whole         |
      | transfer-encoding: chunked;connection: close | 5;whole;0;;   |

  Scenario Outline: a failure has the right type and run state
    Given an endpoint that <behaviour>
    When the client relays 'hello'
    Then the exchange fails with '<failure>' and run state '<state>'

    Examples:
      | behaviour                                              | failure            | state   |
      | refuses connections                                    | refused-connection | not-run |
      | has no valid URL                                       | prevented          | not-run |
      | does not accept connections                            | refused-connection | not-run |
      | closes connections after the request                   | connection-lost    | unknown |
      | responds for another attempt                           | answer-mismatch    | unknown |
      | responds without an attempt                            | answer-mismatch    | unknown |
      | is unresponsive and reports the attempt as absent      | endpoint-silent    | unknown |
      | is unresponsive and reports the attempt as finished    | endpoint-silent    | unknown |
      | is unresponsive, also to probes                        | endpoint-silent    | unknown |
      | is unresponsive and reports the attempt as running     | deadline-exceeded  | unknown |
      | becomes unresponsive in the middle of the response     | endpoint-silent    | unknown |

  Scenario: long inactivity is no failure while the attempt runs
    Given a healthy endpoint for the client
    When the client relays '{"sleepMs":900}'
    Then the relayed response is 'echo:{"sleepMs":900}'

  Scenario: a slow upload by the caller does not count as an unresponsive endpoint
    Given a healthy endpoint for the client
    When the client relays a body with a pause of 700 ms
    Then the relayed response is 'echo:first second'

  Scenario: a failed check before sending prevents the request
    Given an endpoint that closes connections after the request
    When the client relays 'hello' and the check before sending fails
    Then the exchange fails with 'prevented' and run state 'not-run'
    And the endpoint has received no byte

  Scenario: the check before sending is made directly before the write, after connecting
    Given an endpoint that counts its connections
    When the client relays a body whose first chunk is delayed
    Then the check before sending was made after the first chunk had arrived

  Scenario: nothing is sent after the deadline if the process was paused while connecting
    Given an endpoint that closes connections after the request
    When the process pauses beyond the deadline while the client connects
    Then the exchange fails with 'deadline-exceeded' and run state 'not-run'
    And the endpoint has received no byte

  Scenario: nothing is sent on an idle connection after the deadline
    Given a healthy endpoint for the client
    When the client relays 'hello'
    And the client relays 'late' with an expired deadline
    Then the exchange fails with 'deadline-exceeded' and run state 'not-run'

  Scenario: a request does not wait for a free connection
    Given an endpoint that is unresponsive and reports the attempt as running
    And all connections of the client are in use
    When the client relays 'hello'
    Then the exchange fails with 'no-connection-free' and run state 'not-run'

  Scenario: a request that must not be repeated gets a new connection
    Given an endpoint whose connections stop responding after the first response
    When the client relays 'first'
    And the client relays 'second', which must not be repeated
    Then the relayed response is 'whole'

  Scenario: a request over a dead connection fails before its deadline
    Given an endpoint whose connections stop responding after the first response
    When the client relays 'first'
    And the client relays 'second'
    Then the exchange fails with 'endpoint-silent' and run state 'unknown'

  Scenario: idle connections are closed
    Given a healthy endpoint for the client
    When the client relays 'hello'
    Then the client closes its idle connection

  Scenario: the connection is closed when the caller disconnects
    Given an endpoint that is unresponsive and reports the attempt as running
    When the client relays 'hello' and the caller disconnects
    Then the exchange fails with 'caller-gone' and run state 'unknown'
    And all connections to the endpoint are closed

  Scenario: a failed upload leaves the caller's stream open for a response
    Given an endpoint that closes connections after the request
    When the client relays a body that does not end
    Then the exchange fails with 'connection-lost' and run state 'unknown'
    And the stream of the request body is not destroyed

  Scenario Outline: start orders
    Given an endpoint that responds to start orders with status <status>
    When the client sends a start order
    Then the start result is '<result>'

    Examples:
      | status | result        |
      | 201    | started       |
      | 409    | refused-stale |
      | 400    | refused       |
      | 503    | refused       |
      | 500    | unknown       |

  Scenario: hop-by-hop fields, the caller's key and forged fields are removed
    Then for all headers only end-to-end fields are forwarded
