Feature: Scheduler settings
  Guards against settings that are accepted but have no effect.

  Scenario Outline: the packing weight determines the safety margin of size estimates
    When a daemon creates its size estimator with packing weight <weight>
    Then a reservation covers <percent> percent of the peaks plus <headroom> percent headroom

    Examples:
      | weight | percent | headroom |
      | 0      | 98      | 20       |
      | 0.5    | 90      | 10       |
      | 1      | 82      | 0        |

  Scenario Outline: preemption can be switched off
    Given a scheduler created by a daemon with preemption <switch>
    And a worker whose capacity is fully used by batch work of another team
    When urgent work of the first team has waited for 5 s
    Then the scheduler <reaction>

    Examples:
      | switch | reaction              |
      | on     | preempts running work |
      | off    | preempts no work      |
