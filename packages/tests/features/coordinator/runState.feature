Feature: Run state of calls whose leader loses its leadership during a commit
  Guards against a refusal that says not-run about a change that was committed, because the leader
  checks its validity after the commit and refuses as if it had not started.

  Background:
    Given a leader whose commits are delayed

  Scenario: an announcement that was committed is not refused as not run
    When runner "runner-2" announces itself
    And leader validity ends
    And the delayed commits succeed
    Then the call is refused with run state "unknown"

  Scenario: a heartbeat whose reports were committed is not refused as not run
    Given a batch task that runs on worker "worker-1"
    When worker "worker-1" reports the end of the task
    And leader validity ends
    And the delayed commits succeed
    Then the call is refused with run state "unknown"

  Scenario: an announcement to a leader that is not valid is refused as not run
    When leader validity ends
    And runner "runner-2" announces itself
    Then the call is refused with run state "not-run"

  Scenario: a placement that is being committed is not refused as not run
    Given a call for a placement that is being committed
    When the leader session ends
    Then the call is refused with run state "unknown"

  Scenario: a placement that waits for an endpoint is refused as not run
    Given a call for a placement that waits for an endpoint
    When the leader session ends
    Then the call is refused with run state "not-run"
