Feature: Placement rules under random call sequences
  Guards against a scheduler that overcommits, exceeds limits, splits gangs, places a task
  twice or starves work after an unusual order of calls, and against checkers that miss such
  faults.

  Scenario Outline: The <name> scheduler follows the rules
    Given a property-based test of the <name> scheduler
    When it runs <runs> random call sequences with seed 20261204
    Then the placement checker finds no fault

    Examples:
      | name       | runs |
      | fair-share | 1500 |
      | first-fit  | 200  |
      | random     | 200  |

  Scenario Outline: The checkers detect a scheduler that breaks the <rule> rule
    Given a property-based test of a scheduler that breaks the <rule> rule
    When it runs 1000 random call sequences with seed 71
    Then the placement checker finds "<fault>"

    Examples:
      | rule       | fault                    |
      | capacity   | is overcommitted in      |
      | limit      | exceeds its limit        |
      | grant      | is not granted           |
      | gang       | is placed in part        |
      | repeat     | but does not wait        |
      | starvation | never placed or rejected |
