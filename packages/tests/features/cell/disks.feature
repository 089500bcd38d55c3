@processes
Feature: Lost disks and restarts of all processes
  Guards against a repair that leaves the cell with too few durable copies, and against
  accepted configuration, jobs or answers that are gone or differ after a restart.

  Scenario: a second loss right after a repair, and a restart of everything after 300 notes
    Given a cell of 3 daemons of which 3 have a disk
    And 2 stand-in workers
    And 20 accepted jobs that run on
    And 20 accepted release notes
    When a follower is killed and comes back with an erased disk
    Then it becomes a voter again within 30 s
    When another replica is killed
    Then all accepted jobs and notes are there within 10 s
    When the killed replica is started again
    And the operator sends 280 release notes
    And all daemons are killed and started again
    Then all accepted jobs and notes are there within 15 s
    And each note that is sent again gets the same answer
    And a note with an equal number and other content is a conflict that names the winner
