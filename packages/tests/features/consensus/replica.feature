@raft
Feature: Raft replica
  Each scenario guards one rule of the protocol on a paused clock; breaking it would lose a
  commit, show two valid leaders, or stop the cluster.

  Scenario: a command commits and is applied everywhere
    Given a Raft cluster of "a b c"
    When 1 commands are proposed in one turn on Raft replica leader
    And 200 ms of Raft time pass
    Then the Raft outcome is "committed"
    And Raft replicas "a b c" have applied all proposed commands

  Scenario: proposals of one turn share one write and one message
    Given a Raft cluster of "a b c"
    When 50 commands are proposed in one turn on Raft replica leader
    And 20 ms of Raft time pass
    Then the Raft outcome is "committed"
    And there was one write on Raft replica leader and one message to each other

  Scenario: many commits a second: proposals of a short time share one write and one message
    Given a Raft cluster of "a b c" that appends proposals every 20 ms
    When 10 commands are proposed 1 ms apart on Raft replica leader
    And 60 ms of Raft time pass
    Then the Raft outcome is "committed"
    And there were at most 2 writes on Raft replica leader

  Scenario: proposals that wait to be appended are refused when their replica stops
    Given a Raft cluster of "a b c" that appends proposals every 20 ms
    When 10 commands are proposed in one turn on Raft replica leader
    And Raft replica leader crashes
    And 60 ms of Raft time pass
    Then the Raft outcome is "NotLeaderError"

  Scenario: followers acknowledge only what is written
    Given a Raft cluster of "a b c"
    When the writes of Raft replica follower stall
    And the writes of Raft replica other stall
    And 1 commands are proposed in one turn on Raft replica leader
    And 3000 ms of Raft time pass
    Then the Raft outcome is "pending"
    And Raft replica leader is a valid leader
    When the writes of Raft replica other go on
    And 20 ms of Raft time pass
    Then the Raft outcome is "committed"

  Scenario: a leader counts its own log only once it is written
    Given a Raft cluster of "a b c"
    When Raft replica other is cut off
    And the writes of Raft replica leader stall
    And 1 commands are proposed in one turn on Raft replica leader
    And 300 ms of Raft time pass
    Then the Raft outcome is "pending"
    When the writes of Raft replica leader go on
    And 20 ms of Raft time pass
    Then the Raft outcome is "committed"

  Scenario: the disk of the leader does not hold up a majority without it
    Given a Raft cluster of "a b c"
    When the writes of Raft replica leader stall
    And 1 commands are proposed in one turn on Raft replica leader
    And 20 ms of Raft time pass
    Then the Raft outcome is "committed"

  Scenario: votes are granted only once they are written
    Given a Raft cluster of "a b c"
    When the writes of Raft replica follower stall
    And the writes of Raft replica other stall
    And Raft replica leader crashes
    And 5000 ms of Raft time pass
    Then Raft has no valid leader
    When the writes of Raft replica follower go on
    And the writes of Raft replica other go on
    Then Raft has a valid leader

  Scenario: a leader without its followers ceases to be valid before another is elected
    Given a Raft cluster of "a b c"
    When Raft replica leader is cut off
    And 300 ms of Raft time pass
    Then Raft replica leader is a valid leader
    When 210 ms of Raft time pass
    Then Raft has no valid leader
    When 1 commands are proposed in one turn on Raft replica leader
    And 1 ms of Raft time pass
    Then the Raft outcome is "NotLeaderError"
    And Raft replica leader has the role "leader"
    When 1100 ms of Raft time pass
    Then Raft replica leader has the role "follower"

  Scenario: the commit of an entry of a lost leader is unknown, and its log gives way
    Given a Raft cluster of "a b c"
    When Raft replica leader is cut off
    And 3 commands are proposed in one turn on Raft replica leader
    And Raft has a valid leader
    And 2000 ms of Raft time pass
    Then the Raft outcome is "CommitUnknownError"
    When 20 commands are committed one by one by the Raft leader
    And Raft replica leader is reconnected
    And 1000 ms of Raft time pass
    Then Raft replicas "a b c" have applied the same commands

  Scenario: a replica that was cut off does not disturb the leader
    Given a Raft cluster of "a b c"
    When Raft replica follower is cut off
    And 5000 ms of Raft time pass
    And Raft replica follower is reconnected
    And 2000 ms of Raft time pass
    Then Raft replica leader is a valid leader
    And the Raft term has not changed

  Scenario: a cluster restarts from its disks
    Given Raft snapshots every 10 entries
    And a Raft cluster of "a b c"
    When 45 commands are committed one by one by the Raft leader
    And Raft replica a crashes
    And Raft replica b crashes
    And Raft replica c crashes
    And Raft replica a starts
    And Raft replica b starts
    And Raft has a valid leader
    Then Raft replica a has stored a snapshot
    And Raft replicas "a b" have applied all proposed commands

  Scenario: a follower that is far behind gets a snapshot
    Given Raft snapshots every 10 entries
    And a Raft cluster of "a b c"
    When Raft replica follower is cut off
    And 60 commands are committed one by one by the Raft leader
    And Raft replica follower is reconnected
    And 1000 ms of Raft time pass
    Then Raft replica follower has stored a snapshot
    And Raft replicas "a b c" have applied all proposed commands

  Scenario: messages stay far below the frame limit of connections
    Given a Raft cluster of "a b c"
    When Raft replica follower is cut off
    And 40 commands of 100 KiB are proposed in one turn on Raft replica leader
    And Raft replica follower is reconnected
    And 1000 ms of Raft time pass
    Then the Raft outcome is "committed"
    And Raft replicas "a b c" have applied the same commands
    And no Raft message is longer than 1100 KiB

  Scenario: a slow snapshot holds up its own replica only
    Given Raft snapshots every 10 entries
    And a Raft cluster of "a b c"
    When 9 commands are committed one by one by the Raft leader
    And the writes of Raft replica follower stall
    And 30 commands are committed one by one by the Raft leader
    And 2000 ms of Raft time pass
    Then the Raft term has not changed
    When the writes of Raft replica follower go on
    And 1000 ms of Raft time pass
    Then Raft replicas "a b c" have applied all proposed commands

  Scenario: a second loss right after a repair loses nothing
    Given a Raft cluster of "a b c"
    When 10 commands are committed one by one by the Raft leader
    And Raft replica follower loses its disk
    And 200 ms of Raft time pass
    Then Raft replica follower has a new random id
    And Raft replica follower has the role "learner"
    When the Raft leader replaces replica follower
    And Raft replica leader crashes
    And Raft has a valid leader
    And 10 commands are committed one by one by the Raft leader
    And 200 ms of Raft time pass
    Then Raft replicas "follower other" have applied all proposed commands

  Scenario: a learner that has not caught up is not promoted
    Given a Raft cluster of "a b c"
    When the Raft leader adds learner "d/new" and promotes it
    Then the Raft outcome is "MembershipChangeError"

  Scenario: a removal that leaves no answering majority is refused
    Given a Raft cluster of "a b c"
    When Raft replica follower crashes
    And 600 ms of Raft time pass
    And the Raft leader removes replica other
    Then the Raft outcome is "MembershipChangeError"
    When the Raft leader removes replica follower
    Then the Raft outcome is "removed"

  Scenario: leadership is transferred
    Given a Raft cluster of "a b c"
    When the Raft leader transfers leadership to other
    And 20 ms of Raft time pass
    Then the Raft outcome is "transferred"
    And Raft replica other is a valid leader
    And Raft replica leader isn't a valid leader

  Scenario: leadership goes to a voter that answers
    Given a Raft cluster of "a b c"
    When Raft replica follower crashes
    And 600 ms of Raft time pass
    And the Raft leader transfers leadership to any voter
    And 20 ms of Raft time pass
    Then the Raft outcome is "transferred"
    And Raft replica other is a valid leader

  Scenario: a failed write stops the replica for good
    Given a Raft cluster of "a b c"
    When the writes of Raft replica leader fail
    And Raft replica follower is cut off
    And Raft replica other is cut off
    And 1 commands are proposed in one turn on Raft replica leader
    And 20 ms of Raft time pass
    Then the Raft outcome is "CommitUnknownError"
    And Raft replica leader has reported a fatal error and writes no more
    When Raft replica follower is reconnected
    And Raft replica other is reconnected
    Then Raft has a valid leader

  Scenario: an empty replica bootstraps only after enough others have answered
    Given empty Raft replicas "a b c"
    When Raft replica a starts
    And Raft replica b starts
    And 5000 ms of Raft time pass
    Then Raft replica a has the id ""
    When Raft replica c starts
    And Raft has a valid leader
    Then Raft replica a has the id "a/bootstrap"
    And Raft replica c has the id "c/bootstrap"
