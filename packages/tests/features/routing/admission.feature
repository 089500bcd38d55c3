Feature: Retries and admission
  Unbounded retries turn a slow fleet into a dead one; unbounded admission fills the memory of a
  small instance; jitter without spread lets all callers come back at once.

  Scenario: retries are bounded by a share of fresh traffic
    Given a retry budget
    When 1000 fresh requests arrive within a second
    Then 210 retries are granted
    When 10 seconds pass for the retry budget
    Then 10 retries are granted

  Scenario: the budget of past traffic decays second by second
    Given a retry budget
    When 1000 fresh requests arrive within a second
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

  Scenario: admission is bounded and in order of arrival
    Given a limiter for 2 in flight and 3 waiting
    When 6 callers ask for admission
    Then callers '1,2' are admitted and callers '6' are refused as 'full'
    When caller 1 leaves twice
    Then callers '1,2,3' are admitted and callers '6' are refused as 'full'

  Scenario: waiting ends with its bound, with the caller and with the limiter
    Given a limiter for 1 in flight and 5 waiting
    When 4 callers ask for admission
    And caller 2 goes away
    Then callers '2' are refused as 'cancelled'
    When 1000 milliseconds pass for the limiter
    Then callers '3,4' are refused as 'deadline-exceeded'
    When 1 callers ask for admission
    And the limiter closes
    Then callers '5' are refused as 'closed'

  Scenario: a raised limit admits those who wait
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
