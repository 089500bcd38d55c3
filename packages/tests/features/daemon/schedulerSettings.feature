Feature: Settings of the scheduler
  Guards against settings that are accepted and then have no effect.

  Scenario Outline: the packing weight decides how cautiously sizes are learned
    When a daemon makes its size estimator with packing weight <weight>
    Then a reservation covers <percent> percent of the peaks with <headroom> percent on top

    Examples:
      | weight | percent | headroom |
      | 0      | 98      | 20       |
      | 0.5    | 90      | 10       |
      | 1      | 82      | 0        |

  Scenario Outline: preemption can be switched off
    Given a scheduler made by a daemon with preemption <switch>
    And a worker that is full of batch work of another team
    When urgent work of the first team has waited for 5 s
    Then the scheduler <reaction>

    Examples:
      | switch | reaction              |
      | on     | asks work to give way |
      | off    | leaves all work alone |
