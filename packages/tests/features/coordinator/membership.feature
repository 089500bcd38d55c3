Feature: Membership of the replicated log
  Guards against a group that needs a majority which is no longer reachable, after instances were
  lost or replaced. Instance "b" leads.

  Scenario: a voter that fails after its replacement has joined is removed
    Given the voters "a b c d"
    When replica instance "a" becomes unreachable
    And the membership is checked for 1500 ms
    Then the voters are "b c d"

  Scenario: a voter that restarts at once is kept
    Given the voters "a b c d"
    When replica instance "a" becomes unreachable
    And the membership is checked for 600 ms
    And replica instance "a" becomes reachable
    And the membership is checked for 2000 ms
    Then the voters are "a b c d"

  Scenario: a group of odd size is kept, because without the voter it would tolerate fewer failures
    Given the voters "a b c"
    When replica instance "a" becomes unreachable
    And the membership is checked for 5000 ms
    Then the voters are "a b c"

  Scenario: no voter is removed while two voters of a group of even size are unreachable
    Given the voters "a b c d e f"
    When replica instance "a" becomes unreachable
    And replica instance "c" becomes unreachable
    And the membership is checked for 5000 ms
    Then the voters are "a b c d e f"

  Scenario: a new replica replaces an unreachable voter
    Given the voters "a b c"
    When replica instance "a" becomes unreachable
    And the membership is checked for 1500 ms
    And replica instance "d" joins
    Then the voters are "b c d"

  Scenario: an instance with an empty disk replaces its former replica
    Given the voters "a b c"
    When replica instance "a" joins with an empty disk
    Then the voters are "b c a"
    And the former replica of "a" has no vote

  # Guards against an even number of voters: a partition into halves leaves no majority anywhere.
  Scenario: of six replicas five vote, so that a partition into halves leaves a majority
    Given the voters "a b c"
    When replica instances "d e f" join at the same time
    Then the voters are "a b c d e"
    And the learners are "f"
    And a partition into halves of all replicas leaves one half a majority

  Scenario: a replica on standby replaces a voter that becomes unreachable
    Given the voters "a b c"
    When replica instance "d" joins on standby
    Then the voters are "a b c"
    And the learners are "d"
    When replica instance "c" becomes unreachable
    And the membership is checked for 1500 ms
    And replica instance "d" joins
    Then the voters are "a b d"

  Scenario: a replica on standby completes a group of even size
    Given the voters "a b c d"
    When replica instance "e" joins
    Then the voters are "a b c d e"

  Scenario: a single new replica stays on standby while another one is unreachable
    Given the voters "a b c"
    When replica instance "d" joins on standby
    And replica instance "d" becomes unreachable
    And replica instance "e" joins on standby
    Then the voters are "a b c"
    And the learners are "d e"

  # Guards against membership changes for each connection that is lost for a moment.
  Scenario: a voter that is unreachable for a moment is not replaced by one on standby
    Given the voters "a b c"
    When replica instance "d" joins on standby
    And replica instance "c" becomes unreachable
    And the membership is checked for 400 ms
    And replica instance "d" joins on standby
    And replica instance "c" becomes reachable
    And the membership is checked for 2000 ms
    Then the voters are "a b c"

  # Guards against learners that have failed and are listed for good.
  Scenario: a learner that has failed is removed
    Given the voters "a b c"
    When replica instance "d" joins on standby
    And replica instance "d" becomes unreachable
    And the membership is checked for 9000 ms
    Then the learners are "d"
    When the membership is checked for 2000 ms
    Then the learners are ""
