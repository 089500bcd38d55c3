Feature: Evacuations of a cell with endpoints of its own
  Guards against work that starts in a data centre that an operator has evacuated, and against a
  change whose author is not known.

  Background:
    Given a leader with workers in "dc-1" and "dc-2" and a runner in each

  Scenario: nothing is placed in an evacuated data centre
    When operator "operator-1" evacuates "dc-1"
    And a job of 6 tasks is submitted to the leader
    Then 4 tasks were ordered, all in "dc-2"
    When operator "operator-1" ends the evacuation of "dc-1"
    Then 6 tasks were ordered

  # Guards against attempts that were decided before the commit of the evacuation.
  Scenario Outline: an attempt decided before an evacuation is not ordered after it
    Given the commits of the leader are delayed
    When a <kind> of 4 tasks is submitted to the leader while nothing else has room
    And operator "operator-1" evacuates "dc-1" right after the placement
    And the leader commits again
    Then no task was ordered in "dc-1"
    And no endpoint has failed

    Examples:
      | kind |
      | job  |
      | gang |

  Scenario: a request placed before an evacuation is placed elsewhere after it
    Given the commits of the leader are delayed
    When a request is acquired while only "dc-1" has room
    And operator "operator-1" evacuates "dc-1" right after the placement
    And the runner in "dc-2" gets room
    And the leader commits again
    Then the request was placed in "dc-2"

  Scenario: the audit trail names who began and ended an evacuation, once
    When operator "operator-1" evacuates "dc-1"
    And operator "operator-2" evacuates "dc-1"
    And operator "operator-2" ends the evacuation of "dc-1"
    Then the latest entries of the audit trail are
      | by         | summary                   |
      | operator-1 | evacuation of dc-1 begins |
      | operator-2 | evacuation of dc-1 ends   |
    And the audit trail of the state is intact

  Scenario Outline: an evacuation survives a snapshot, and a snapshot of the release before has none
    When operator "operator-1" evacuates "dc-1"
    Then a state restored from <snapshot> has <count> evacuations

    Examples:
      | snapshot                         | count |
      | its snapshot                     | 1     |
      | a snapshot of the release before | 0     |
