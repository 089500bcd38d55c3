Feature: Room that is held for a step
  Room that was freed for an urgent step must not go to the work that was stopped for it, nor stay
  idle for a step that does not use it.

  Scenario Outline: held room is open to its step and to more urgent work only
    Given an endpoint of 4 cores of which 2 are held for step "u" of priority 1 for 500 ms
    Then a task of 3 cores of step "<step>" of priority <priority> <fits> there after <ms> ms

    Examples:
      | step  | priority | fits         | ms  |
      | u     | 1        | fits         | 0   |
      | other | 1        | does not fit | 0   |
      | other | 2        | does not fit | 0   |
      | other | 0        | fits         | 0   |
      | other | 2        | does not fit | 490 |
      | other | 2        | fits         | 510 |

  # Guards against work that takes the headroom in a limit back for which it was stopped.
  Scenario: held room counts in the limit of its organisation
    Given an endpoint of 4 cores of which 2 are held for step "u" of priority 1 for 500 ms
    And a limit of 3 cores
    Then a task of 2 cores of step "other" of priority 2 exceeds the limit
    And a task of 1 cores of step "other" of priority 2 is within the limit
    And a task of 3 cores of step "u" of priority 1 is within the limit

  # Guards against steps that are passed over although they could be placed.
  Scenario Outline: blocked steps are re-evaluated when a hold <event>
    Given an endpoint of 4 cores of which 2 are held for step "u" of priority 1 for 500 ms
    And step "other" of 3 cores of priority 2 is blocked
    When the hold <event>
    Then step "other" is not blocked

    Examples:
      | event        |
      | expires      |
      | is released  |

  # Guards against cycles that evaluate blocked steps although nothing has become free for them.
  Scenario: blocked steps stay blocked when a hold is used
    Given an endpoint of 4 cores of which 2 are held for step "u" of priority 1 for 500 ms
    And step "other" of 3 cores of priority 2 is blocked
    When step "u" starts a task of 2 cores
    Then step "other" is blocked
