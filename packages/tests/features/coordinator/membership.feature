Feature: Membership of the replicated log
  Guards against a group that needs a majority which is no longer there. Instance "b" leads.

  Scenario: a newcomer that joins before another leaves: the one that has gone is removed
    Given the voters "a b c d"
    When replica instance "a" goes
    And the membership is checked for 1500 ms
    Then the voters are "b c d"

  Scenario: a voter that restarts at once stays
    Given the voters "a b c d"
    When replica instance "a" goes
    And the membership is checked for 600 ms
    And replica instance "a" comes back
    And the membership is checked for 2000 ms
    Then the voters are "a b c d"

  Scenario: an odd group is not made smaller, as it would bear fewer losses
    Given the voters "a b c"
    When replica instance "a" goes
    And the membership is checked for 5000 ms
    Then the voters are "a b c"

  Scenario: two voters of an even group are out of reach: nobody is removed
    Given the voters "a b c d e f"
    When replica instance "a" goes
    And replica instance "c" goes
    And the membership is checked for 5000 ms
    Then the voters are "a b c d e f"

  Scenario: a newcomer takes the place of a voter that is gone
    Given the voters "a b c"
    When replica instance "a" goes
    And replica instance "d" joins
    Then the voters are "b c d"

  Scenario: an instance with an empty disk takes the place of its former self
    Given the voters "a b c"
    When replica instance "a" joins with an empty disk
    Then the voters are "b c a"
    And the former replica of "a" has no vote
