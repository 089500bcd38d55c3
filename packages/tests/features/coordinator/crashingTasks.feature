Feature: Tasks of the cell's own interface that crash their endpoints
  Guards against a task that takes down one worker after the other, as an attempt that is lost with
  its endpoint counts for nothing.

  Scenario: a batch task that crashes its workers is bounded
    Given a leader with 4 workers of 8 cores that crash when they start the first task of "bad"
    When batch jobs "good-1, bad, good-2, good-3" of 4 tasks are submitted together
    And 120000 ms of coordinator time pass
    Then batch job "bad" is "failed"
    And its first task was started at most 4 times
    And batch job "good-1" is "succeeded"
    And batch job "good-2" is "succeeded"
    And batch job "good-3" is "succeeded"
