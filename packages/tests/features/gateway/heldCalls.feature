Feature: Calls that the leader holds
  Guards against an instance that takes a healthy leader for unresponsive.

  # A poll that waits at the leader was cut short by its deadline after an election; all calls of
  # the instance, those of callers too, then avoided the new leader for a second.
  Scenario: a poll that is cut short by its deadline says nothing about the leader
    Given a cell that elects its leader after 900 ms
    When a call that the leader holds for 1000 ms is made with a deadline of 1800 ms
    And it has failed with "timed-out"
    Then a call that the leader answers at once takes at most 100 ms

  Scenario: a leader that does not answer in the time that it has is avoided
    Given a cell that elects its leader after 0 ms
    When a call that the leader never answers is made with a deadline of 1200 ms
    And it has failed with "timed-out"
    And the other replicas name no leader
    Then a call that the leader answers at once takes at least 500 ms

  # A leader that is slow, but known to its followers, was avoided by all calls for a second.
  Scenario: a leader that was too slow for one call is used again once another replica names it
    Given a cell that elects its leader after 0 ms
    When a call that the leader never answers is made with a deadline of 1200 ms
    And it has failed with "timed-out"
    Then a call that the leader answers at once is sent to another replica first and takes at most 100 ms
