Feature: Exchange with endpoints
  A wrong run state makes a caller repeat work that has run, or give up work that has not. An
  answer that is taken for complete although it was cut off hands a caller half a certificate.

  Background:
    Given an HTTP exchange

  Scenario: an answer arrives complete
    Given a sound endpoint for the exchange
    When the exchange relays 'hello'
    Then the relayed answer is 'echo:hello'

  Scenario: bodies are streamed in both directions under backpressure
    Given a sound endpoint for the exchange
    When the exchange relays 8 MiB in pieces to a slow receiver
    Then the relayed answer is the echo of all pieces

  Scenario Outline: a cut answer never ends cleanly
    Given an endpoint that answers '<head>' with body '<body>' and closes by <close>
    When the exchange relays 'hello'
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

  Scenario Outline: a complete answer on a closing connection is accepted
    Given an endpoint that answers '<head>' with body '<body>' and closes by FIN
    When the exchange relays 'hello'
    Then the relayed answer is 'whole'

    Examples:
      | head                                         | body          |
      | content-length: 5;connection: close          | whole         |
      | transfer-encoding: chunked;connection: close | 5;whole;0;;   |

  Scenario Outline: the run state is exact
    Given an endpoint that <behaviour>
    When the exchange relays 'hello'
    Then the exchange fails with '<failure>' and run state '<state>'

    Examples:
      | behaviour                                      | failure            | state   |
      | refuses connections                            | refused-connection | not-run |
      | has no valid URL                               | prevented          | not-run |
      | lets no connection be established              | refused-connection | not-run |
      | closes connections after the request           | connection-lost    | unknown |
      | answers for another attempt                    | answer-mismatch    | unknown |
      | answers without an attempt                     | answer-mismatch    | unknown |
      | is silent and says the attempt is absent       | endpoint-silent    | unknown |
      | is silent and says the attempt is finished     | endpoint-silent    | unknown |
      | is silent and answers no probes                | endpoint-silent    | unknown |
      | is silent and says the attempt is running      | deadline-exceeded  | unknown |
      | is silent in the middle of the answer          | endpoint-silent    | unknown |

  Scenario: a long silence is no failure while the attempt runs
    Given a sound endpoint for the exchange
    When the exchange relays '{"sleepMs":900}'
    Then the relayed answer is 'echo:{"sleepMs":900}'

  Scenario: a caller that uploads slowly is no silent endpoint
    Given a sound endpoint for the exchange
    When the exchange relays a body with a pause of 700 ms in it
    Then the relayed answer is 'echo:first second'

  Scenario: a check that fails directly before the write prevents it
    Given an endpoint that closes connections after the request
    When the exchange relays 'hello' and the last check fails
    Then the exchange fails with 'prevented' and run state 'not-run'
    And the endpoint has received no byte

  Scenario: the last check is made on an established connection in the turn of the write
    Given an endpoint that counts its connections
    When the exchange relays a body whose first piece comes late
    Then the last check was made after the first piece had come

  Scenario: nothing is sent after the deadline, even if the process was paused while connecting
    Given an endpoint that closes connections after the request
    When the process pauses beyond the deadline while the exchange connects
    Then the exchange fails with 'deadline-exceeded' and run state 'not-run'
    And the endpoint has received no byte

  Scenario: nothing is sent on an open connection after the deadline
    Given a sound endpoint for the exchange
    When the exchange relays 'hello'
    And the exchange relays 'late' with no time left
    Then the exchange fails with 'deadline-exceeded' and run state 'not-run'

  Scenario: no request waits for a connection
    Given an endpoint that is silent and says the attempt is running
    And the exchange has as many requests under way as it has connections
    When the exchange relays 'hello'
    Then the exchange fails with 'no-connection-free' and run state 'not-run'

  Scenario: a request that must not be repeated takes a connection of its own
    Given an endpoint whose connections go silent after their first answer
    When the exchange relays 'first'
    And the exchange relays 'second', which must not be repeated
    Then the relayed answer is 'whole'

  Scenario: a request over a connection that has gone silent ends before its deadline
    Given an endpoint whose connections go silent after their first answer
    When the exchange relays 'first'
    And the exchange relays 'second'
    Then the exchange fails with 'endpoint-silent' and run state 'unknown'

  Scenario: idle connections are closed
    Given a sound endpoint for the exchange
    When the exchange relays 'hello'
    Then the exchange soon has no connection

  Scenario: the endpoint is released when the caller has gone
    Given an endpoint that is silent and says the attempt is running
    When the exchange relays 'hello' and the caller goes
    Then the exchange fails with 'caller-gone' and run state 'unknown'
    And the endpoint sees its connections closed

  Scenario: a failed upload leaves the caller's stream open for an answer
    Given an endpoint that closes connections after the request
    When the exchange relays a body that does not end
    Then the exchange fails with 'connection-lost' and run state 'unknown'
    And the stream of the request body is not destroyed

  Scenario Outline: start orders
    Given an endpoint that answers start orders with status <status>
    When the exchange sends a start order
    Then the start result is '<result>'

    Examples:
      | status | result        |
      | 201    | started       |
      | 409    | refused-stale |
      | 400    | refused       |
      | 503    | refused       |
      | 500    | unknown       |

  Scenario: hop-by-hop fields, the caller's key and forged fields are removed
    Then for all headers only end-to-end fields reach the other side
