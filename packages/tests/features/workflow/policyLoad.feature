Feature: Policies under load
  Simulated load on the order and the placement of the scheduler, without processes or a network. Guards
  against rules that look right for single steps and lose value when work exceeds the capacity.

  Scenario Outline: a burst beyond the capacity: learned durations earn more than the former ranks
    Given endpoints of <cores> cores with load for a fifth of a deployment of <deployment> endpoints
    When arrivals rise to <burst> times the usual for a third of the time
    Then urgent jobs earn at least <gain> more with learned durations than without
    And long jobs earn no less

    Examples:
      | cores | deployment | burst | gain |
      | 64    | large      | 4     | 0.01 |
      | 16    | small      | 8     | 0.04 |

  Scenario: one organisation sends ten times its usual: the others earn as much as before
    Given endpoints of 16 cores with load for a fifth of a deployment of small endpoints
    When one organisation sends 10 times its usual for a third of the time
    Then urgent jobs of the others earn at least 0.95 of their value
    And those of this organisation earn less than those of the others
    And those of this organisation earn no less than by the former ranks
