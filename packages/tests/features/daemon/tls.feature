@processes @daemon-tls
Feature: TLS of a daemon
  Guards against daemons that ignore their certificate settings and talk in plain text, and
  against certificates that expire because a renewed file takes effect only after a restart.

  Scenario: callers and instances use TLS, and a certificate is replaced without a restart
    Given a cell of 3 daemons on TLS
    Then the client binary reaches "instance-1" with the authority's certificate
    And the client binary does not reach "instance-1" without it
    And a call in plain text to "instance-1" is not answered
    And an instance without a certificate cannot open a peer connection to "instance-1"
    When the certificate of "instance-1" is replaced by one with another serial number
    Then "instance-1" presents the new certificate to callers and to instances within 10 s
    And the process of "instance-1" is still the first one
    When the certificate file of "instance-1" is damaged
    Then "instance-1" reports that the changed files are unusable and keeps the old ones
