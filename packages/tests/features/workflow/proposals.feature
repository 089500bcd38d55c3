Feature: Proposals of a leadership
  Guards against decisions of an ended leadership that are committed in a later one.

  Scenario: a command of an ended leadership is not proposed in a later term
    Given a log whose leader has the term 3
    When a command of the leadership of term 2 is proposed
    Then it is refused as not appended
    And the log has 0 proposals

  Scenario: a command of the present leadership is proposed
    Given a log whose leader has the term 3
    When a command of the leadership of term 3 is proposed
    Then the log has 1 proposals
