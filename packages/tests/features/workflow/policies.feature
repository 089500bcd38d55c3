Feature: Policies of workflows
  Each scenario names the pattern of load or trouble that a rule answers.

  Scenario Outline: filling work beside serving tasks slows down before targets are missed
    Then filling work at <pace> % beside a tail of <ratio> of its target, unchanged for <since> ms, goes on at <next> %

    Examples:
      | pace | ratio | since | next |
      | 100  | 0.5   | 5000  | 100  |
      | 100  | 0.9   | 0     | 50   |
      | 30   | 0.9   | 0     | 0    |
      | 100  | 1.2   | 0     | 0    |
      | 0    | 0.5   | 500   | 0    |
      | 0    | 0.5   | 1500  | 25   |
      | 90   | 0.5   | 1500  | 100  |
      | 50   | 0.7   | 9000  | 50   |

  Scenario: endpoints of different speed: the place where a task ends first
    Given the places
      | id   | factor | load |
      | slow | 1.7    | 0    |
      | fast | 0.7    | 0.5  |
    Then a task goes to "fast"

  Scenario: equal endpoints: the one with more room
    Given the places
      | id    | factor | load |
      | full  | 1      | 0.9  |
      | empty | 1      | 0.1  |
    Then a task goes to "empty"

  Scenario: a hot rack: near the data, but not at any price
    Given the places
      | id   | factor | load | rack |
      | near | 1      | 0.9  | r1   |
      | far  | 1      | 0    | r2   |
    Then a task with data in rack "r1" goes to "near"
    And a task with data in rack "r3" goes to "far"

  Scenario: a worker that fails what it starts: others are preferred
    Given the places
      | id   | factor | load | trouble |
      | bad  | 0.5    | 0    | 1       |
      | good | 1.7    | 0.9  | 0       |
    Then a task goes to "good"

  Scenario: serving tasks beside filling ones: kept apart
    Given the places
      | id      | factor | load | serving |
      | serving | 1      | 0    | yes     |
      | other   | 1      | 0.9  |         |
    Then a filling task goes to "other"

  Scenario: a lease is over only when the slowest permitted clock says so
    Given an endpoint clock that was read as 1000 ms at 50 ms
    When a lease of 5000 ms is granted at 50 ms
    Then the lease may hold at 5100 ms
    And the lease has certainly ended at 5200 ms

  Scenario: a grant after a while allows for the slowest permitted clock
    Given an endpoint clock that was read as 1000 ms at 0 ms
    Then a lease of 5000 ms granted at 1000 ms ends at 6980 ms on the endpoint's clock

  Scenario: a suspended process trusts nothing until its beliefs are renewed
    Given a guard against suspensions that asks for 300 ms
    Then the guard trusts
    When the time of day goes on for 4000 ms while the process stands still
    Then the guard does not trust
    When 310 ms pass for both
    Then the guard trusts

  Scenario: estimates that are wrong by kind are corrected
    When 20 tasks of kind "b" take 1700 ms instead of 1000 ms
    Then a task of kind "b" is expected to take 1.7 times its estimate

  Scenario: an endpoint that has become slow is told from its kind
    When 20 tasks of kind "a" take 1000 ms instead of 1000 ms
    And 10 tasks on "w9" of kind "a" take 6000 ms instead of 1000 ms
    Then "w9" is at least 2 times slower than its kind

  Scenario: a burst that cannot be served in time: jobs that can still be in time go first
    Given waiting jobs of 1000 ms that should end within 1500 ms
      | id      | priority | waitedMs |
      | overdue | 1        | 9000     |
      | late    | 1        | 2000     |
      | old     | 1        | 400      |
      | fresh   | 1        | 10       |
      | urgent  | 0        | 2000     |
    Then they are served in the order "urgent old fresh late overdue"

  Scenario: a large organisation floods a full fleet: the one below its share goes first
    Given waiting jobs of 1000 ms that should end within 1500 ms
      | id    | priority | waitedMs | use  |
      | large | 1        | 400      | 9000 |
      | small | 1        | 10       | 1000 |
      | urgent | 0       | 10       | 9000 |
    Then they are served in the order "urgent small large"

  Scenario: organisations that use about as much of their shares: the oldest goes first
    Given waiting jobs of 1000 ms that should end within 1500 ms
      | id    | priority | waitedMs | use  |
      | young | 1        | 10       | 1000 |
      | old   | 1        | 400      | 1100 |
    Then they are served in the order "old young"

  Scenario: a service has no time by which it is too late
    Given waiting services of 1000 ms that should end within 1500 ms
      | id    | priority | waitedMs |
      | first | 1        | 9000     |
      | next  | 1        | 100      |
    Then they are served in the order "first next"

  Scenario: a full fleet: a step without a place is looked at again when something changed
    Given a step of 2 tasks that found no place, with tickets for "w1"
    Then it is passed over
    When a run on "w2" is released
    Then it is passed over
    When a run on "w1" is released
    Then it is looked at again
    When it finds no place again
    Then it is passed over
    When a ticket for "w3" comes
    Then it is looked at again

  Scenario: a full fleet: a trial that is taken back gives no room
    Given a step of 2 tasks that found no place, with tickets for "w1"
    When a run on "w1" is withdrawn
    Then it is passed over
