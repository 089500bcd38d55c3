@processes
Feature: Lost disks and restarts of all processes
  Guards against a repair that leaves the cell with too few durable copies, and against
  accepted configuration, jobs or responses that are lost or differ after a restart.

  Scenario: a second replica fails right after a repair, and all daemons restart after 300 notes
    Given a cell of 3 daemons of which 3 have a disk
    And 2 stand-in workers
    And 20 accepted jobs that keep running
    And 20 accepted release notes
    When a follower is killed and restarted with an erased disk
    Then it becomes a voter again within 30 s
    When another replica is killed
    Then all accepted jobs and notes are readable within 10 s
    When the killed replica is restarted
    And the operator sends 280 release notes
    And all daemons are killed and restarted
    Then all accepted jobs and notes are readable within 15 s
    And each note that is resent gets the same response
    And a note with the same number and different content is rejected as a conflict that names the winner
