Feature: Lock of the data folder
  Guards against two processes that write the same log, and against a killed process whose lock
  blocks its restart.

  Scenario: a second process is refused until the first one is killed
    Given a process that holds the lock of a data folder
    Then the lock is refused with FolderLockedError naming that process
    When the process that holds the lock is killed
    Then the lock can be taken and released

  Scenario: a lock of an earlier boot or of a reused process id is stale
    Given a lock file of this process id with another start time
    Then the lock can be taken and released

  Scenario: only one of many claimants takes over a stale lock
    Given a lock file of this process id with another start time
    When 20 claimants take the lock at once
    Then exactly one claimant holds the lock

  Scenario: a killed writer loses no acknowledged entry and does not block its restart
    When a process that appends to a log folder is killed 4 times after 120 acknowledged entries
    Then the log folder holds every acknowledged entry
