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

  # A saturated leader reads the acknowledgements that renew its validity later than the commit.
  Scenario: a committed run is ordered as soon as validity returns
    Given the workflow leader loses its majority after committing its next starts
    When job "j" of 4 tasks is submitted
    And 40 ms of workflow time pass
    Then 0 runs were started
    When the workflow leader regains its majority
    And 20 ms of workflow time pass
    Then 4 runs were started
    And no run is lost

  Scenario: a committed run is lost if validity does not return in time
    Given the workflow leader loses its majority after committing its next starts
    When job "j" of 4 tasks is submitted
    And 3000 ms of workflow time pass
    And the workflow leader regains its majority
    And 2000 ms of workflow time pass
    Then the leader exports 'lagoongap_runs_lost_total{reason="leader-not-valid"} 4'
    And job "j" is "completed"
    And worker w1 has started no first run
    And worker w2 has started no first run

  Scenario: a leadership that has ended orders nothing, even if its instance is elected again
    Given the workflow leader loses its majority after committing its next starts
    When job "j" of 4 tasks is submitted
    And 40 ms of workflow time pass
    And the instance is elected again in a later term
    And 100 ms of workflow time pass
    Then 0 runs were started

  Scenario: a session that has ended orders nothing
    Given the workflow leader loses its majority after committing its next starts
    When job "j" of 4 tasks is submitted
    And 40 ms of workflow time pass
    And the workflow leader changes
    And 3000 ms of workflow time pass
    Then job "j" is "completed"
    And worker w1 has started no first run
    And worker w2 has started no first run

  Scenario: a committed run is not ordered if its job ends before validity returns
    Given the workflow leader loses its majority after committing its next starts
    When job "j" of 4 tasks is submitted
    And 40 ms of workflow time pass
    And the workflow leader regains its majority and cancels job "j" at once
    And 200 ms of workflow time pass
    Then 0 runs were started

  Scenario: a committed run is not ordered at a new incarnation of its endpoint
    Given the workflow leader loses its majority after committing its next starts
    When job "j" of 8 tasks is submitted
    And 40 ms of workflow time pass
    And worker w1 restarts
    And the workflow leader regains its majority
    And 2000 ms of workflow time pass
    Then job "j" is "completed"
    And worker w1 has started no first run
    And the leader exports 'lagoongap_runs_lost_total{reason="not-needed"} 4'

  # An order into a cut keeps its run until every lease of the endpoint has expired.
  Scenario: an endpoint that stops responding while a start is committed gets no order
    Given service "s" of 2 tasks with at most 1 per worker is submitted
    And 1000 ms of workflow time pass
    And worker w2 completes new tasks after 500 ms
    And starts take 3000 ms to commit
    When job "j" of 2 tasks with at most 1 per worker is submitted
    And worker w1 becomes unresponsive
    And 2900 ms of workflow time pass
    And starts take 0 ms to commit
    And 2000 ms of workflow time pass
    Then job "j" is "completed"
