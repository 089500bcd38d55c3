@processes @daemon-tls
Feature: TLS of the daemon
  Guards against a daemon that ignores its certificate settings and serves plain text, and against
  certificates that expire because a renewed file takes effect only after a restart.

  Scenario: callers and instances use TLS, and a certificate is replaced without a restart
    Given a cell of 3 daemons with TLS
    Then the client binary reaches "instance-1" with the CA certificate
    And the client binary does not reach "instance-1" without the CA certificate
    And a plain-text request to "instance-1" fails
    And an instance without a certificate cannot open a peer connection to "instance-1"
    When the certificate of "instance-1" is replaced by one with a different serial number
    Then "instance-1" presents the new certificate to callers and to instances within 10 s
    And the process of "instance-1" has not restarted
    When the certificate file of "instance-1" is corrupted
    Then "instance-1" logs that the changed files are unusable and keeps the old certificate
