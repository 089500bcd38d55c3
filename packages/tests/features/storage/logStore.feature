Feature: Log store
  Guards against a crash that loses or changes acknowledged entries, and against damaged data that
  is read as valid entries.

  Background:
    Given a log store in memory

  Scenario: a restart returns all written entries
    When 1000 log entries are written one by one
    And the log store is restarted
    Then it returns log entries 1 to 1000

  Scenario: a new segment preserves the state from deleted segments
    Given log segments of 500 bytes
    When 100 log entries are written one by one
    And the log from entry 90 on is replaced by entries of term 2
    And a log snapshot is saved at entry 50
    And the log store is restarted
    Then it returns log entries 51 to 90
    And the last returned log entry has term 2

  Scenario: a snapshot that conflicts with the log discards the log
    When 20 log entries are written one by one
    And a log snapshot of term 7 is saved at entry 15
    And the log store is restarted
    Then it returns no log entries
    And entry 16 can be appended to the log

  Scenario: a write larger than a record is split across records and segments
    Given log records of at most 200 bytes
    And log segments of 500 bytes
    When 100 log entries are written in one write
    And the log store is restarted
    Then it returns log entries 1 to 100

  Scenario: an entry larger than a record is refused
    Given log records of at most 200 bytes
    When 1 log entries of 300 bytes are written in one write
    Then the log write is refused with RecordTooLargeError

  Scenario: a write is one record with one sync
    When 10 log entries are written in one write
    Then the last file operations were "write, sync"

  Scenario: a gap in the log is refused before it is written
    When 3 log entries are written one by one
    Then appending entry 5 to the log is refused with StorageUsageError

  Scenario: a torn last record is truncated at any length
    When 10 log entries are written one by one
    Then a restart after truncation at any byte of the last log record returns entries 1 to 9

  Scenario: a flipped bit in the middle is reported with file and offset
    When 10 log entries are written one by one
    Then a restart after a flipped bit in any byte of log record 5 fails with file and offset

  Scenario: a flipped bit in an earlier segment is not treated as a torn write
    Given log segments of 500 bytes
    When 50 log entries are written one by one
    Then a restart after a bit flip in the last record of the first segment fails with file and offset

  Scenario: a missing segment is reported
    Given log segments of 500 bytes
    When 50 log entries are written one by one
    Then a restart without the second log segment fails with MissingFileError

  Scenario: a damaged snapshot is reported
    When 20 log entries are written one by one
    And a log snapshot is saved at entry 10
    Then a restart after a flipped bit in any byte of the log snapshot fails with file and offset

  Scenario Outline: all operations are rejected after the first disk failure
    When 5 log entries are written one by one
    And the next log <operation> fails with <code>
    And 1 log entries are written in one write
    Then the log write is refused with StorageFailedError
    And every later operation of the log store is refused without accessing the disk

    Examples:
      | operation | code   |
      | write     | ENOSPC |
      | sync      | EIO    |

  Scenario Outline: a crash at any step of a snapshot preserves all entries
    Given log segments of 300 bytes
    When 30 log entries are written one by one
    And a log snapshot is saved at entry 5
    Then a crash at any step of a log snapshot at entry <index> of term <term> with <crash> loses nothing

    Examples:
      | index | term | crash |
      | 20 | 1 | process killed |
      | 20 | 1 | power lost |
      | 20 | 1 | names kept |
      | 20 | 1 | names reordered |
      | 40 | 3 | process killed |
      | 40 | 3 | power lost |
      | 40 | 3 | names kept |
      | 40 | 3 | names reordered |
      | 20 | 2 | process killed |
      | 20 | 2 | power lost |
      | 20 | 2 | names kept |
      | 20 | 2 | names reordered |

  Scenario: leftover temporary files are removed
    When 5 log entries are written one by one
    And a temporary file is left in the log folder
    And the log store is restarted
    Then it returns log entries 1 to 5
    And no temporary files are left in the log folder
