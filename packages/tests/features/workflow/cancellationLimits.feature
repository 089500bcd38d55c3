Feature: Limits on cancellations of unknown jobs
  Guards against callers that fill the memory of all replicas with cancellations of jobs that never
  existed, and against a refusal or an expiry that takes back an acknowledged cancellation.

  Background:
    Given a workflow leader with room for 3 cancellations of unknown jobs by an organisation, 5 in all
    And a second organisation "p"
    And 1 workers of 4 cores

  Scenario: an organisation cannot fill the cell, and a repetition needs no room
    When unknown jobs "a b c" are cancelled
    Then the cancellation of job "d" by "k" is refused as not run with a time to retry
    And the cancellation of job "a" by "k" returns "no-job"
    And the cancellation of job "d" by "p" returns "no-job"
    And the cancellation of job "e" by "p" returns "no-job"
    And the cancellation of job "f" by "p" is refused as not run with a time to retry
    And 5 cancellations of unknown jobs are recorded

  # Guards against a bound that only counts what has been committed.
  Scenario: cancellations that are being committed count
    When unknown jobs "a b c d e f" are cancelled at the same moment
    Then 3 cancellations of unknown jobs are recorded

  Scenario: a submission that arrives makes room
    When unknown jobs "a b c" are cancelled
    And job "a" of 1 tasks is submitted
    Then job "a" is "cancelled"
    And the cancellation of job "d" by "k" returns "no-job"
    And 0 runs were started

  Scenario: cancellations expire when submissions can no longer be on their way
    When unknown jobs "a b c" are cancelled
    And 4500 ms of workflow time pass
    Then 0 cancellations of unknown jobs are recorded
    And the cancellation of job "d" by "k" returns "no-job"

  # Guards against an acknowledgement whose record is about to expire.
  Scenario: a repeated cancellation is kept for the whole time again
    When unknown jobs "a b" are cancelled
    And 2200 ms of workflow time pass
    And unknown jobs "a" are cancelled
    And 2200 ms of workflow time pass
    Then 1 cancellation of unknown jobs is recorded
    When job "a" of 1 tasks is submitted
    And job "b" of 1 tasks is submitted
    Then job "a" is "cancelled"
    And job "b" is not "cancelled"

  # Guards against an age that is counted from a leadership that has ended.
  Scenario: a new leader keeps the cancellations of its predecessor for the whole time
    When unknown jobs "a" are cancelled
    And 2200 ms of workflow time pass
    And the workflow leader changes
    And 2200 ms of workflow time pass
    Then 1 cancellation of unknown jobs is recorded
    When 2200 ms of workflow time pass
    Then 0 cancellations of unknown jobs are recorded

  # Guards against a caller that blocks the ids of others.
  Scenario: an organisation cannot cancel submissions of others that have not arrived
    When the cancellation of job "j" by "p" returns "no-job"
    And job "j" of 1 tasks is submitted
    And 1000 ms of workflow time pass
    Then job "j" is "completed"

  # Guards against records of ids that no submission can have.
  Scenario: an id that is refused at its submission is not recorded
    When an unknown job with an id of 257 characters is cancelled
    Then 0 cancellations of unknown jobs are recorded
