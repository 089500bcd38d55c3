Feature: Crashes of endpoints in the replicated state
  Guards against a task that is started without bound although endpoints crash under it, and against
  replicas that count crashes differently.

  Scenario: a task fails when it was the only suspect in two crashes
    Given a batch task in the state
    When it is lost in 1 crash as the only suspect
    Then the task is "waiting"
    When it is lost in 1 crash as the only suspect
    Then the task is "failed"
    And the message of its job names 2 crashed endpoints

  Scenario: a task fails after three crashes in which there were other suspects
    Given a batch task in the state
    When it is lost in 2 crashes as one of several suspects
    Then the task is "waiting"
    When it is lost in 1 crash as one of several suspects
    Then the task is "failed"
    And the message of its job names 3 crashed endpoints

  Scenario: a task that is lost without a crash waits again
    Given a batch task in the state
    When it is lost 10 times without a crash
    Then the task is "waiting"

  Scenario: a task that has worked for a while is cleared of its crashes
    Given a batch task in the state
    When it is lost in 1 crash as the only suspect
    And it is lost after it has worked for a while
    And it is lost in 1 crash as the only suspect
    Then the task is "waiting"

  Scenario: a task that must not be repeated is unknown after a crash
    Given a batch task in the state that must not be repeated
    When it is lost in 1 crash as the only suspect
    Then the task is "unknown"

  # A gang was failed when its tasks had lost one endpoint each, as their crashes were counted together.
  Scenario Outline: crashes count for the task of a gang that was on the endpoint
    Given a gang of 4 tasks in the state
    When its runs are lost in crashes under tasks <tasks> as <role>
    Then the gang is "<state>"

    Examples:
      | tasks         | role                    | state   |
      | 0, 1, 2, 3    | the only suspect        | waiting |
      | 0, 1, 2, 3    | one of several suspects | waiting |
      | 0, 1, 0       | the only suspect        | failed  |
      | 0, 1, 2, 0, 0 | one of several suspects | failed  |
      | 0+1, 1+2      | the only suspect        | failed  |

  Scenario: a request is not started again after two crashes as the only suspect
    Given a request in the state
    When it is lost in 1 crash as the only suspect
    Then the request is "waiting"
    When it is lost in 1 crash as the only suspect
    Then the request is "unknown"

  Scenario: crashes are counted on after a snapshot
    Given a batch task in the state
    When it is lost in 1 crash as the only suspect
    And the state is restored from its snapshot
    And it is lost in 1 crash as the only suspect
    Then the task is "failed"

  Scenario: a snapshot from a version that counted no crashes is restored
    Given a batch task in the state
    When it is lost 1 times without a crash
    And the state is restored from its snapshot without crashes and sessions
    And it is lost in 1 crash as the only suspect
    Then the task is "waiting"
    When it is lost in 1 crash as the only suspect
    Then the task is "failed"
