Feature: Replicated state
  Guards against replicas that diverge after the same commands, tasks that run twice after
  concurrent commands, snapshots that change with later commands, and release notes that change
  after they were accepted.

  Scenario: Random commands leave the state consistent
    When 2000 random command sequences are applied to the state
    Then two replicas that apply them have equal states
    And a replica restored from an intermediate snapshot has the same results and state
    And a snapshot does not change while later commands are applied
    And no task has two attempts and no finished job has a running task
    And no task that must not be repeated starts again after it may have run
    And an accepted release note keeps its content and its response
