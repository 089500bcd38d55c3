Feature: Replicated state
  Guards against replicas that differ after the same commands, tasks that run twice
  because two commands cross, snapshots that follow later commands, and release notes that change after they were accepted.

  Scenario: random commands leave the state consistent
    When 2000 random command sequences are applied to the state
    Then two replicas that apply them have equal states
    And a replica restored from a snapshot in the middle goes on equally
    And a snapshot does not change while later commands are applied
    And no task has two attempts and no ended job runs
    And no task that must not be repeated starts again after it may have run
    And an accepted release note keeps its content and its answer
