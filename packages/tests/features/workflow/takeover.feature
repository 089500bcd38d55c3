Feature: Take-over by a new leader
  Guards against a new leader that loses its validity, because it blocks the event loop that renews
  it, and against logs that are filled with what its predecessor has done.

  # A quarter of the validity of 280 ms, on a core of half the speed of the one that tests run on.
  Scenario: the state of a large deployment is taken over without a long block
    Given a stored state of 350 endpoints, 600 open jobs with 3000 runs, and 4400 ended jobs
    When a new leader takes it over
    Then all 3000 runs are adopted
    And no turn of the event loop took more than 35 ms of processor time

  # Guards against lines and figures of thousands of jobs that ended long ago.
  Scenario: jobs that ended under a former leader are not reported again
    Given a stored state of 3 endpoints, 2 open jobs with 4 runs, and 50 ended jobs
    When a new leader takes it over
    Then the end of no job is logged or counted
