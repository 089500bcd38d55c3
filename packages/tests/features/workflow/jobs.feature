Feature: Jobs of dependent steps
  Guards against steps that start too early, jobs that end in the wrong state, and exceeded limits.

  Background:
    Given a workflow leader

  Scenario: a step starts after all tasks of its dependency
    Given 2 workers of 4 cores
    When job "j" of steps with 3 and 2 tasks is submitted
    And 300 ms of workflow time pass
    Then 3 runs were started
    When 2000 ms of workflow time pass
    Then 5 runs were started
    And job "j" is "completed"

  Scenario: capacity is never exceeded, and waiting tasks start later
    Given 2 workers of 2 cores
    When job "j" of 10 tasks is submitted
    And 300 ms of workflow time pass
    Then 4 runs were started
    When 3000 ms of workflow time pass
    Then job "j" is "completed"
    And no worker had more than 2 tasks

  Scenario: a full fleet: waiting tasks start as soon as others end
    Given 2 workers of 2 cores
    When job "j" of 4 tasks is submitted
    And job "k" of 4 tasks is submitted
    And 560 ms of workflow time pass
    Then 8 runs were started

  Scenario: an organisation stays within its limit
    Given 4 workers of 4 cores
    And the organisation is limited to 3 cores
    When job "j" of 9 tasks is submitted
    And 300 ms of workflow time pass
    Then 3 runs were started
    When 3000 ms of workflow time pass
    Then job "j" is "completed"

  Scenario: a gang starts as a whole
    Given 2 workers of 2 cores
    When gang job "big" of 5 tasks is submitted
    And gang job "small" of 4 tasks is submitted
    And 300 ms of workflow time pass
    Then 4 runs were started
    And job "small" is "running"
    And job "big" is "queued"

  Scenario: tasks of a step are spread if the step limits tasks per endpoint
    Given 3 workers of 8 cores
    When job "j" of 6 tasks with at most 2 per worker is submitted
    And 300 ms of workflow time pass
    Then 6 runs were started
    And no worker had more than 2 tasks

  Scenario: a task that fails too often fails its job
    Given 1 workers of 4 cores
    And worker w1 fails the tasks that it starts
    When job "j" of 1 tasks is submitted
    And 10000 ms of workflow time pass
    Then job "j" is "failed"
    And 3 runs were started

  Scenario: a cancelled job is stopped
    Given 1 workers of 4 cores
    When job "j" of 4 tasks of 60000 ms is submitted
    And 100 ms of workflow time pass
    And job "j" is cancelled
    And 500 ms of workflow time pass
    Then job "j" is "cancelled"
    And no task is running

  Scenario: tasks of a service are restarted whatever their outcome
    Given 1 workers of 4 cores
    When service "s" of 2 tasks is submitted
    And 5000 ms of workflow time pass
    Then job "s" is "running"
    And 2 tasks are running

  Scenario: a recurring job runs on its schedule
    Given 1 workers of 4 cores
    When job "j" of 1 task is submitted for 3 times, 2000 ms apart
    And 1000 ms of workflow time pass
    Then 1 runs were started
    When 2000 ms of workflow time pass
    Then 2 runs were started
    When 3000 ms of workflow time pass
    Then job "j" is "completed"

  Scenario: a job submitted twice is accepted once
    Given 1 workers of 4 cores
    When job "j" of 1 tasks is submitted
    And job "j" of 1 tasks is submitted
    And 2000 ms of workflow time pass
    Then 1 runs were started

  Scenario: a draining endpoint gets no new work
    Given 1 workers of 4 cores
    When worker w1 is draining
    And job "j" of 1 tasks is submitted
    And 500 ms of workflow time pass
    Then 0 runs were started

  Scenario: a query whose instance does not report is reassigned
    Given a queue with an advisor
    And 2 workers of 4 cores
    And an instance that polls for queries and becomes unresponsive
    And an instance that answers queries
    When job "j" of 2 tasks is submitted
    And 1500 ms of workflow time pass
    Then job "j" is "completed"

  Scenario: many waiting steps: a scheduling cycle resumes where its time limit stopped it
    Given a leader whose scheduling cycles have time for one step only
    And 2 workers of 2 cores
    When gang job "big1" of 5 tasks is submitted
    And gang job "big2" of 5 tasks is submitted
    And job "j" of 2 tasks is submitted
    And job "k" of 2 tasks is submitted
    And 1500 ms of workflow time pass
    Then job "j" is "completed"
    And job "k" is "completed"
    And job "big1" is "queued"

  Scenario: calls for unknown jobs, with unknown keys and for queues
    Given 1 workers of 4 cores
    Then a call for job "none" returns "no-job"
    And a call with key "other" returns "unauthenticated"
    And a call for the queue returns "queue"
