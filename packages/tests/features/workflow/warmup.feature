Feature: Cold endpoints
  Guards against endpoints that are filled at once while they are slow, and against a leader that
  commits each heartbeat of a cold endpoint.

  Scenario Outline: a cold endpoint takes a growing share of its capacity
    Given an endpoint of 16 cores of a pool that is cold for <pool> ms
    When it reports that it is cold for <first> ms
    And <passed> ms pass for the endpoint
    Then it takes <cores> cores

    Examples:
      | pool  | first | passed | cores |
      | 20000 | 20000 | 0      | 4     |
      | 20000 | 20000 | 10000  | 10    |
      | 20000 | 20000 | 20000  | 16    |
      | 20000 | 10000 | 0      | 10    |
      | 0     | 10000 | 0      | 4     |
      | 0     | 10000 | 5000   | 10    |
      | 20000 | 40000 | 0      | 4     |
      | 20000 | 0     | 0      | 16    |

  Scenario: a cold endpoint without runs takes one task of any size
    Given an endpoint of 16 cores of a pool that is cold for 20000 ms
    When it reports that it is cold for 20000 ms
    Then it has room for a task of 12 cores beside 0 runs
    And it has no room for a task of 12 cores beside 1 runs
    And it has no room for a task of 17 cores beside 0 runs
    And it has room for a task of 2 cores beside 1 runs

  Scenario Outline: the starts on a cold endpoint are bounded in each second
    Given an endpoint of 16 cores of a pool that tolerates <rate> starts per second while cold
    When it reports that it is cold for 60000 ms
    Then it takes <first> starts now
    When <passed> ms pass for the endpoint
    Then it takes <next> starts now

    Examples:
      | rate | first | passed | next |
      | 2    | 2     | 1000   | 0    |
      | 2    | 2     | 1101   | 2    |
      | 2.5  | 2     | 1101   | 2    |
      | 0.5  | 1     | 2000   | 0    |
      | 0.5  | 1     | 2201   | 1    |
      | 0    | 50    | 0      | 50   |

  # Guards against twice the tolerated starts in a second with a change of leader.
  Scenario: the starts of an earlier leader may have used up the latest second
    Given an endpoint of 16 cores of a pool that tolerates 2 starts per second while cold
    And an earlier leader that may have given orders until now
    When it reports that it is cold for 60000 ms
    Then it takes 0 starts now
    When 1101 ms pass for the endpoint
    Then it takes 2 starts now

  Scenario Outline: the stored end of a warm-up is kept while it is close to the reported one
    Then a stored warm-up of <stored> ms is <verdict> when an endpoint reports <reported> ms

    Examples:
      | stored | reported | verdict  |
      | 30000  | 30000    | kept     |
      | 26000  | 30000    | kept     |
      | 14000  | 30000    | replaced |
      | 0      | 4000     | kept     |
      | 0      | 20000    | replaced |
      | 4000   | 0        | kept     |
      | 20000  | 0        | replaced |

  Scenario: urgent work prefers warm endpoints, and a cold one fills up gradually
    Given a workflow leader
    And an urgent queue
    And 2 workers of 4 cores
    And the pool is cold for 20000 ms
    And worker w1 is cold for 20000 ms
    When urgent job "u" of 4 tasks of 60000 ms is submitted
    And 200 ms of workflow time pass
    Then worker w1 has started 0 runs
    And worker w2 has started 4 runs
    When job "j" of 4 tasks of 60000 ms is submitted
    And 200 ms of workflow time pass
    Then worker w1 has started 1 runs
    When 10000 ms of workflow time pass
    Then worker w1 has started 2 runs
    When 12000 ms of workflow time pass
    Then worker w1 has started 4 runs
    And the log explains a wait with 1 cold endpoints

  Scenario: starts on a cold endpoint are bounded whatever the number of steps
    Given a workflow leader
    And 1 workers of 8 cores
    And the pool is cold for 1000000 ms and tolerates 2 starts per second
    And worker w1 is cold for 20000 ms
    And 2000 ms of workflow time pass
    When job "j" of 4 tasks is submitted
    And job "k" of 4 tasks is submitted
    And 1000 ms of workflow time pass
    Then worker w1 has started 2 runs
    When 1200 ms of workflow time pass
    Then worker w1 has started 4 runs
    When 8000 ms of workflow time pass
    Then job "j" is "completed"
    And job "k" is "completed"

  # Guards against the starts of two windows that are ordered together after a slow commit.
  Scenario: starts on a cold endpoint count from their order
    Given a workflow leader
    And 1 workers of 8 cores
    And the pool is cold for 1000000 ms and tolerates 2 starts per second
    And worker w1 is cold for 20000 ms
    And 2000 ms of workflow time pass
    And starts are committed late
    When job "j" of 4 tasks of 60000 ms is submitted
    And 1500 ms of workflow time pass
    And the late starts are committed
    And 900 ms of workflow time pass
    Then worker w1 has started 2 runs
    When 400 ms of workflow time pass
    Then worker w1 has started 4 runs

  Scenario: a gang takes the bound on starts into account as a whole
    Given a workflow leader
    And 2 workers of 8 cores
    And the pool is cold for 1000000 ms and tolerates 2 starts per second
    And worker w1 is cold for 30000 ms
    And worker w2 is cold for 30000 ms
    And 2000 ms of workflow time pass
    When gang job "g" of 4 tasks is submitted
    And 300 ms of workflow time pass
    Then worker w1 has started 2 runs
    And worker w2 has started 2 runs
    When gang job "h" of 5 tasks is submitted
    And 5000 ms of workflow time pass
    Then job "g" is "completed"
    And job "h" is "queued"
    When 27000 ms of workflow time pass
    Then job "h" is "completed"

  # Guards against a commit for each heartbeat only because the remaining time has changed.
  Scenario Outline: heartbeats of a cold endpoint are not committed each time
    Given a workflow leader
    And 1 workers of 4 cores
    And worker w1 is cold for <cold>
    When 30000 ms of workflow time pass
    Then the record of worker w1 was committed at most <commits> times

    Examples:
      | cold               | commits |
      | 20000 ms           | 2       |
      | 30000 ms each time | 4       |

  # Guards against a new leader that fills cold endpoints until their next heartbeats.
  Scenario: a new leader knows cold endpoints before it has heard from them
    Given a workflow leader
    And 2 workers of 4 cores
    And the pool is cold for 20000 ms
    And worker w1 is cold for 20000 ms
    When the workflow leader changes and hears no heartbeats
    And job "j" of 8 tasks of 5000 ms is submitted
    And 500 ms of workflow time pass
    Then worker w1 has started 1 runs
    And worker w2 has started 4 runs

  # Guards against a leader that takes endpoints for cold that became warm long ago.
  Scenario: a new leader knows that a warm-up is over
    Given a workflow leader
    And 1 workers of 4 cores
    And worker w1 is cold for 20000 ms
    When 25000 ms of workflow time pass
    And the workflow leader changes and hears no heartbeats
    And job "j" of 4 tasks of 5000 ms is submitted
    And 500 ms of workflow time pass
    Then worker w1 has started 4 runs

  # Guards against estimates that are too long after all endpoints have been cold.
  Scenario: durations are not learned from cold endpoints
    Given a workflow leader
    And 2 workers of 1 cores
    And worker w1 is of kind "b"
    And worker w1 is cold for 8000 ms
    And worker w1 completes new tasks after 5000 ms
    When job "j" of 2 tasks is submitted
    And 10000 ms of workflow time pass
    Then job "j" is "completed"
    And worker w1 has started 1 runs
    When job "k" of 1 tasks is submitted
    And 500 ms of workflow time pass
    Then worker w1 has started 2 runs

  Scenario: endpoints that report no warm-up, and all endpoints without the feature, are warm
    Given a workflow leader
    And the feature "warm-up" is switched off
    And 2 workers of 4 cores
    And the pool is cold for 20000 ms and tolerates 1 starts per second
    And worker w1 is cold for 20000 ms
    When job "j" of 8 tasks is submitted
    And 200 ms of workflow time pass
    Then worker w1 has started 4 runs
    And worker w2 has started 4 runs
