Feature: Mutual TLS between instances
  Guards against instances that connect to or accept an unauthenticated peer, and against
  certificates that expire because a running process keeps using the old files.

  Scenario: instances with certificates of the same authority call each other
    Given TLS certificates for peers a and b
    When the peers start with TLS
    Then peer a can call peer b within 3000 ms
    And peer b can call peer a within 3000 ms

  Scenario Outline: a wrong certificate is rejected in both directions
    Given TLS certificates for peers a and b
    And peer b has a certificate for <name> by <authority>
    When the peers start with TLS
    Then no calls succeed between the peers within 700 ms

    Examples:
      | name | authority |
      | b    | other-ca  |
      | c    | ca        |

  Scenario: the name check can be disabled
    Given TLS certificates for peers a and b
    And peer b has a certificate for c by ca
    And the name check is disabled
    When the peers start with TLS
    Then peer a can call peer b within 3000 ms

  Scenario: a connection without TLS is rejected
    Given TLS certificates for peers a and b
    When peer a starts without TLS and peer b with TLS
    Then no calls succeed between the peers within 700 ms

  Scenario: changed certificate files are used without a restart
    Given TLS certificates for peers a and b
    When the peers start with TLS
    And the certificate of peer b is replaced by one of other-ca
    And peer b has reloaded its certificate files
    And the connections between the peers are dropped
    Then no calls succeed between the peers within 700 ms
    When the certificate of peer b is replaced by one of ca
    Then peer a can call peer b within 6000 ms

  Scenario: unusable changed files are reported and the previous ones stay in use
    Given TLS certificates for peers a and b
    When the peers start with TLS
    And the certificate file of peer b is overwritten with invalid data
    Then peer b logs that it keeps the previous certificate files
    When the connections between the peers are dropped
    Then peer a can call peer b within 3000 ms

  Scenario: an unresponsive TLS connection is replaced
    Given TLS certificates for peers a and b
    When the peers start with TLS
    And the open connections between the peers stop transferring data in direction both
    And peer b is called with a timeout of 5000 ms and responds after 0 ms
    Then the call failed with PeerConnectionLostError
    And peer a can call peer b within 1000 ms
