Feature: Retries and admission
  Guards against unlimited retries, which overload slow endpoints further, against unlimited
  admission, which exhausts the memory of a small instance, and against retry delays without enough
  jitter, with which all callers retry at the same time.

  Scenario: retries are limited to a share of new requests
    Given a retry budget
    When 1000 new requests arrive within a second
    Then 210 retries are granted
    When 10 seconds pass for the retry budget
    Then 10 retries are granted

  Scenario: requests leave the budget second by second
    Given a retry budget
    When 1000 new requests arrive within a second
    And 9 seconds pass for the retry budget
    Then 210 retries are granted
    When 1 seconds pass for the retry budget
    Then 0 retries are granted

  Scenario: delays grow exponentially with full jitter
    Given 1000 seeded backoffs from 50 to 2000 milliseconds
    Then their delays number 1 spread over 0 to 50 milliseconds
    And their delays number 4 spread over 0 to 400 milliseconds
    And their delays number 9 spread over 0 to 2000 milliseconds
    And the same seed gives the same delays

  Scenario: a deadline passes once, and not before its time
    Given a deadline after 5000 milliseconds
    When 4999 milliseconds pass for the deadline
    Then the deadline has not passed
    When 1 milliseconds pass for the deadline
    Then the deadline has passed

  Scenario: admission is limited and in order of arrival
    Given a limiter for 2 in flight and 3 waiting
    When 6 callers ask for admission
    Then callers '1,2' are admitted and callers '6' are refused as 'full'
    When caller 1 releases its admission twice
    Then callers '1,2,3' are admitted and callers '6' are refused as 'full'

  Scenario: waiting ends by timeout, by abort of the caller and by disposal of the limiter
    Given a limiter for 1 in flight and 5 waiting
    When 4 callers ask for admission
    And caller 2 aborts
    Then callers '2' are refused as 'cancelled'
    When 1000 milliseconds pass for the limiter
    Then callers '3,4' are refused as 'deadline-exceeded'
    When 1 callers ask for admission
    And the limiter is disposed
    Then callers '5' are refused as 'closed'

  Scenario: a raised limit admits waiting callers
    Given a limiter for 1 in flight and 5 waiting
    When 3 callers ask for admission
    And the limit is raised to 3
    Then callers '1,2,3' are admitted and callers '' are refused as 'full'

  Scenario Outline: the limit follows the size of the instance
    Then an instance of <cores> cores and <memory> MiB has a limit of <limit>

    Examples:
      | cores | memory | limit |
      | 1     | 512    | 64    |
      | 2     | 4096   | 256   |
      | 8     | 16384  | 1024  |
      | 0     | 1      | 1     |
