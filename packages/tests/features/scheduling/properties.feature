Feature: Rules of placement under random sequences of calls
  Guards against a scheduler that overcommits, exceeds limits, splits gangs, places a task
  twice or leaves work waiting for ever after some unusual order of calls, and against
  checkers that would not notice.

  Scenario Outline: The <name> scheduler keeps the rules
    Given a property run of the <name> scheduler
    When it goes through <runs> random call sequences with seed 20261204
    Then the placement checker finds no fault

    Examples:
      | name       | runs |
      | fair-share | 1500 |
      | first-fit  | 200  |
      | random     | 200  |

  Scenario Outline: The checkers notice a scheduler that breaks the <rule> rule
    Given a property run of a scheduler that breaks the <rule> rule
    When it goes through 1000 random call sequences with seed 71
    Then the placement checker finds "<fault>"

    Examples:
      | rule       | fault                    |
      | capacity   | is overcommitted in      |
      | limit      | exceeds its limit        |
      | grant      | is not granted           |
      | gang       | is placed in part        |
      | repeat     | but does not wait        |
      | starvation | never placed or rejected |
