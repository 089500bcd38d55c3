Feature: Evidence of crashes
  Guards against tasks that are convicted on weak evidence, and against tasks that escape because
  they were present at a crash that they did not cause.

  Scenario Outline: when a task is convicted
    Given a task with these crashes:
      | run | exposure | suspicion | prompt | sole | excused |
      | 1   | 10       | 0.9       | yes    | no   | no      |
    When its run 2 crashes after <exposure> ms, <evidence>
    Then the task is <verdict>

    Examples:
      | exposure | evidence                       | verdict       |
      | 10       | as the only suspect            | convicted     |
      | 10       | as one of several              | not convicted |
      | 10       | with many other endpoints      | not convicted |
      | 1200     | as the only suspect            | not convicted |

  Scenario: three crashes convict if one has no other explanation
    Given a task with these crashes:
      | run | exposure | suspicion | prompt | sole | excused |
      | 1   | 5000     | 0.2       | no     | no   | no      |
      | 2   | 5200     | 0.9       | no     | yes  | no      |
    When its run 3 crashes after 4900 ms, as one of several
    Then the task is convicted

  Scenario: a crash that is recorded twice counts once
    Given a task with these crashes:
      | run | exposure | suspicion | prompt | sole | excused |
      | 1   | 10       | 0.9       | yes    | yes  | no      |
    When its run 1 crashes after 10 ms, as the only suspect
    Then the task is not convicted

  Scenario: a run that was harmless for long enough clears the task
    Given a task with these crashes:
      | run | exposure | suspicion | prompt | sole | excused |
      | 1   | 10       | 0.9       | yes    | yes  | no      |
      | 2   | 60000    | 0.01      | no     | no   | no      |
    When its run 3 crashes after 10 ms, as the only suspect
    Then the task is not convicted

  Scenario: the crash that is suspected most tells how long the next run is watched
    Given a task with these crashes:
      | run | exposure | suspicion | prompt | sole | excused |
      | 1   | 4000     | 0.01      | no     | no   | no      |
      | 2   | 10       | 0.9       | yes    | yes  | no      |
    Then its next run is watched for 320 ms

  Scenario: a run that had just started is suspected most
    Given an endpoint crashes with runs that started 10, 300 and 5000 ms before
    Then the suspicions are about 0.80, 0.14 and 0.01

  # Guards against a task that escapes because each of its crashes has an excuse.
  Scenario Outline: a series of equally late crashes convicts although each of them is excused
    When the runs of a task crash <instances> after <exposures> ms, all excused
    Then the task is <verdict>

    Examples:
      | instances | exposures            | verdict       |
      | a b a b c | 600 620 590 640 610  | convicted     |
      | a b c d   | 600 620 590 640      | not convicted |
      | a a a a a | 600 620 590 640 610  | not convicted |
      | a b c d e | 600 600 5000 600 600 | not convicted |
