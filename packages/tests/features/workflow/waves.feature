Feature: Maintenance waves
  Guards against too many instances down at once, services that lose too many tasks, and waves
  that are reported as completed too early.

  Background:
    Given a workflow leader

  Scenario: a wave takes down a bounded number of instances at a time
    Given 4 workers of 4 cores
    When a wave over 4 instances with at most 2 down is opened
    And 30000 ms of workflow time pass
    Then the wave is completed with 4 instances maintained
    And at most 2 instances were down at once

  Scenario: a wave keeps the unavailable tasks of a service within its limit
    Given 4 workers of 4 cores
    When service "s" of 3 tasks of which 1 may be unavailable is submitted
    And 1000 ms of workflow time pass
    And a wave over 4 instances with at most 4 down is opened
    And 60000 ms of workflow time pass
    Then the wave is completed with 4 instances maintained
    And at most 2 instances were down at once

  Scenario: a wave continues under the next leader
    Given 3 workers of 4 cores
    When a wave over 3 instances with at most 1 down is opened
    And 1000 ms of workflow time pass
    And the workflow leader changes
    And 30000 ms of workflow time pass
    Then the wave is completed with 3 instances maintained
    And 3 instances were maintained

  # Guards against a second instance of a wave that goes down while the first may be down already.
  Scenario Outline: an instance whose maintenance may have begun counts as down
    Given 4 workers of 4 cores
    When service "s" of 3 tasks of which 1 may be unavailable is submitted
    And 3000 ms of workflow time pass
    And the response to the next maintenance request is lost
    And a wave over 4 instances with at most 1 down is opened
    And 300 ms of workflow time pass
    And <event>
    And 90000 ms of workflow time pass
    Then the wave is completed with 4 instances maintained
    And at most 1 instances were down at once

    Examples:
      | event                       |
      | 10 ms of workflow time pass |
      | the workflow leader changes |

  # Guards against an instance that is taken down while the task of the one before is still starting.
  Scenario Outline: a task is available only while its endpoint reports it as at work
    Given 4 workers of 4 cores
    When service "s" of 3 tasks of which 1 may be unavailable is submitted
    And 3000 ms of workflow time pass
    And tasks on worker w4 are at work 6000 ms after their start
    And <trouble>
    And a wave over <instances> instances with at most 4 down is opened
    And 1500 ms of workflow time pass
    And <event>
    And 60000 ms of workflow time pass
    Then the wave is completed with <instances> instances maintained
    And at most 1 task was away at once after maintenance

    Examples:
      | trouble                                       | instances | event                         |
      | 10 ms of workflow time pass                   | 3         | 10 ms of workflow time pass   |
      | 10 ms of workflow time pass                   | 3         | the workflow leader changes   |
      | worker w4 loses its responses to start orders | 3         | 10 ms of workflow time pass   |
      | worker w4 stalls the tasks that it starts     | 4         | 1000 ms of workflow time pass |
      | worker w4 stalls the tasks that it starts     | 4         | the workflow leader changes   |
