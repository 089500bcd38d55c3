Feature: Lock of the data folder
  Guards against two processes writing to the same log, and against the lock of a killed process
  blocking its restart.

  Scenario: a second process is refused until the first one is killed
    Given a process that holds the lock of a data folder
    Then the lock is refused with FolderLockedError with the id of that process
    When the process that holds the lock is killed
    Then the lock can be acquired and released

  Scenario: a lock from an earlier boot or with a reused process id is stale
    Given a lock file with this process id and a different start time
    Then the lock can be acquired and released

  Scenario: only one of many concurrent claimants acquires a stale lock
    Given a lock file with this process id and a different start time
    When 20 claimants acquire the lock concurrently
    Then exactly one claimant holds the lock

  Scenario: a killed writer loses no acknowledged entry and does not block its restart
    When a process that appends to a log folder is killed 4 times after 120 acknowledged entries
    Then the log folder contains every acknowledged entry
