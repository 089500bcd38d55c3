Feature: Lost runs
  Guards against runs that are committed and never begun, above all of services, whose callers wait
  until the next run: each lost run costs two commits, a place in the queue and a ticket.

  Background:
    Given a workflow leader
    And 2 workers of 4 cores

  Scenario: lost runs are counted by their reason
    When job "j" of 8 tasks of 2000 ms is submitted
    And 100 ms of workflow time pass
    And worker w1 restarts
    And 3000 ms of workflow time pass
    Then the leader exports 'lagoongap_runs_lost_total{reason="not-reported"} 4'

  Scenario: the log explains why the leadership is not valid after a commit
    Given the workflow leader loses its majority after committing its next starts
    When job "j" of 4 tasks is submitted
    And 100 ms of workflow time pass
    Then the leader logs "leadership is not valid after the commit of starts" with the fields "runs, decidedAgoMs, role, term, quorumContactAgoMs, eventLoopDelayMs"
    And the leader logs "leadership is not valid" with the fields "quorumContactAgoMs, eventLoopDelayMs"

  Scenario: the longest time of a service task without a run is exported and logged
    When service "s" of 4 tasks with at most 2 per worker is submitted
    And 1000 ms of workflow time pass
    Then the leader exports "lagoongap_service_tasks_without_run 0"
    When worker w1 fails for good
    And 25000 ms of workflow time pass
    Then the leader exports "lagoongap_service_tasks_without_run 2"
    And the leader logs "service task has no run" with the fields "task, outageMs, lastRun, phase, tasks"
    And the leader logs "service task has no run" between 1 and 12 times
    When worker w1 registers again
    And 3000 ms of workflow time pass
    Then the leader exports "lagoongap_service_tasks_without_run 0"
    And the leader exports "lagoongap_longest_service_outage_seconds 0"
