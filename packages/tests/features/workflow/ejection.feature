Feature: Ejected endpoints
  Guards against accepted work that waits for an endpoint which failed for a while and is sound
  again, and against work that such an endpoint fails.

  Background:
    Given a workflow leader
    And 12 workers of 32 cores
    And only worker w1 has the label "special"

  # Guards against a trial that lasts: a service never ends, and a long task ends too late for others.
  Scenario Outline: an endpoint that is sound again gets work beside a trial that lasts
    Given worker w1 fails the tasks that it starts
    And worker w1 completes new tasks after 100 ms
    When 3 jobs that need the label "special" are submitted
    And <lasting> "s" that needs the label "special" is submitted
    And 6500 ms of workflow time pass
    And worker w1 responds again
    And worker w1 completes new tasks after 640 ms
    And tasks of "s" run until they are stopped
    And 22000 ms of workflow time pass
    Then job "s" is "running"
    When job "late" that needs the label "special" is submitted
    And 3000 ms of workflow time pass
    Then job "late" is "completed"

    Examples:
      | lasting |
      | service |
      | job     |

  # Guards against a probation, doubled by a failed trial, that outlasts the failures of an endpoint.
  Scenario: an endpoint on which work depends is tried soon after it is sound again
    Given worker w1 fails the tasks that it starts
    And worker w1 completes new tasks after 100 ms
    When 3 jobs that need the label "special" are submitted
    And service "s" that needs the label "special" is submitted
    And 16000 ms of workflow time pass
    And worker w1 responds again
    And tasks of "s" run until they are stopped
    And 5500 ms of workflow time pass
    Then service "s" runs 1 tasks
    And the leader logs "endpoint health changed" with the fields "endpoint, state, failures, withinMs"
    And the leader logs "step is waiting" with the fields "endpoints, ejected"
