Feature: Logs
  Guards against keys in log files, where they have to be considered compromised. Each path by which
  a key can get into a record is tested.

  Scenario Outline: <source> is redacted in <format> format
    Given a logger of format "<format>" and level "debug"
    When a secret is logged as <source>
    Then the log has 1 record without the secret

    Examples:
      | format | source                         |
      | json   | part of the message            |
      | json   | a bound field                  |
      | json   | a field named "token"          |
      | json   | a field named "x" in a list    |
      | json   | the message of an error        |
      | json   | the cause of an error          |
      | json   | a property of an error         |
      | json   | an authorization header        |
      | json   | a raw header list              |
      | json   | a key of a map                 |
      | json   | a part of a URL                |
      | pretty | part of the message            |
      | pretty | the cause of an error          |
      | pretty | a field named "token"          |

  Scenario: any data that contains a secret is redacted
    Then 300 random records that contain a secret are logged without it

  Scenario: minimum level and bound fields
    Given a logger of format "json" and level "warn"
    When a child logger with request "r-1" logs at every level
    Then the log has records of levels "warn,error" with request "r-1"

  Scenario: fencing tokens are not redacted
    Given a logger of format "json" and level "info"
    When the fencing token 42 is logged
    Then the log contains '"token":42'

  Scenario: an error is logged with its causes
    Given a logger of format "json" and level "info"
    When an error with the cause "disk full" is logged
    Then the log contains 'disk full'

  Scenario: a record with a circular reference is logged
    Given a logger of format "json" and level "info"
    When a record with a circular reference is logged
    Then the log contains '[circular]'
