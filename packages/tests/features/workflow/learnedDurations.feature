Feature: Learned durations
  Guards against work that is ordered and placed by submitted estimates that are wrong, and against a
  new leader that knows nothing about the work at hand.

  Scenario: estimates that say nothing: work is expected to take what its class has taken
    When 40 steps of "crawl" that take 1000 ms end, with estimates off by 0.9
    Then a step of "crawl" with an estimate of 100 ms is expected to take 700 to 1450 ms
    And a step of "crawl" with an estimate of 5000 ms is expected to take 700 to 1450 ms

  Scenario: exact estimates of varied work are believed
    When 60 steps of "render" that vary by 0.9 end, with estimates off by 0
    Then a step of "render" with an estimate of 200 ms is expected to take 180 to 220 ms
    And a step of "render" with an estimate of 9000 ms is expected to take 8000 to 10000 ms

  Scenario: a class of two kinds of work: the estimate tells them apart
    When 80 steps of "mixed" that take 100 or 10000 ms end, with estimates off by 0.3
    Then a step of "mixed" with an estimate of 100 ms is expected to take 70 to 140 ms
    And a step of "mixed" with an estimate of 10000 ms is expected to take 7000 to 14000 ms

  Scenario: a class of two kinds of work that no estimate tells apart: the spread says so
    When 80 steps of "blind" that take 100 or 10000 ms end, with estimates of 1000 ms
    Then the logarithm of the duration of "blind" is expected to vary by at least 1.5

  Scenario: an unseen class falls back to its queue, to all work, and to the estimate
    Then a step of "new" with an estimate of 1000 ms is expected to take 1000 to 1000 ms
    When 40 steps of "known" that take 4000 ms end, with estimates of 1000 ms
    Then a step of "new" with an estimate of 1000 ms is expected to take 3000 to 4100 ms
    And a step of "new" in queue "other" with an estimate of 1000 ms is expected to take 2500 to 4100 ms

  Scenario: work without an estimate is expected to take what its class has taken
    Then a step of "plain" with an estimate of 0 ms is expected to take 0 to 0 ms
    When 10 steps of "plain" that take 3000 ms end, with estimates of 0 ms
    Then a step of "plain" with an estimate of 0 ms is expected to take 2900 to 3100 ms

  Scenario: single runs that hang for a minute do not spoil the estimate
    When 40 steps of "crawl" that take 1000 ms end, with estimates off by 0.2
    And 3 steps of "crawl" that take 60000 ms end, with estimates of 1000 ms
    Then a step of "crawl" with an estimate of 1000 ms is expected to take 800 to 1400 ms

  Scenario: an organisation whose work becomes ten times as long
    When 200 steps of "crawl" that take 500 ms end, with estimates of 500 ms
    And 40 steps of "crawl" that take 5000 ms end, with estimates of 500 ms
    Then a step of "crawl" with an estimate of 500 ms is expected to take 3000 to 5500 ms

  Scenario: a step of many tasks does not outweigh the steps before it
    When 20 steps of "crawl" that take 1000 ms end, with estimates of 1000 ms
    And 1 step of 60 tasks of "crawl" that takes 3000 ms ends, with an estimate of 1000 ms
    Then a step of "crawl" with an estimate of 1000 ms is expected to take 950 to 1200 ms

  Scenario: the speed of a kind of endpoints is told apart from the work
    When 60 steps of "crawl" that take 1000 ms end on endpoints of factor 0.7 and 1.7 alternately
    Then endpoints of factor 1.7 are expected to take 2.2 to 2.7 times as long as those of factor 0.7
    And a step of "crawl" with an estimate of 1000 ms is expected to take 950 to 1250 ms

  # Guards against kinds that take up what is wrong with all estimates.
  Scenario: estimates that are all too low do not make the only kind of endpoints slow
    When 40 steps of "crawl" that take 500 ms end, with estimates of 20 ms
    Then a step of "crawl" with an estimate of 20 ms is expected to take 470 to 510 ms

  # The tasks of a step are alike, so that their runs can be compared whatever the estimate was.
  Scenario: an endpoint that has become slower than its kind is found in a few runs
    Given steps of 8 tasks on 8 endpoints, one of which is 3 times slower, with work that varies by 0.9
    When 6 such steps end
    Then the slow endpoint is expected to take 2 to 3.5 times as long as the others
    And the others are expected to differ by at most 30 %

  # Guards against work that concentrates on one of several equal endpoints.
  Scenario: endpoints that have been measured about equally fast count as equal
    Given steps of 8 tasks on 8 endpoints, one of which is 1 times slower, with work that varies by 0.9
    When 20 such steps end
    Then all endpoints are expected to take equally long

  Scenario: the model stays bounded and small, and the classes in use are kept
    When 3000 classes of one step each end, with a step of "crawl" after each
    Then the model has at most 1024 classes, "crawl" among them
    And its snapshot takes at most 64 KiB

  Scenario: a model restored from a snapshot continues exactly like the former one
    When 40 steps of "crawl" that vary by 0.9 end, with estimates off by 0.5
    And the model is restored from its snapshot
    And 40 steps of "crawl" that vary by 0.9 end, with estimates off by 0.5, on both
    Then both models have the same snapshot

  # Guards against a new leader that orders work by the submitted estimates until it has seen enough.
  Scenario: a new leader expects what tasks took under the former one
    Given a workflow leader
    And 4 workers of 4 cores
    When 20 jobs with estimates of 4000 ms, which take 500 ms, complete
    Then a job with an estimate of 4000 ms is expected to take 450 to 750 ms
    When the workflow leader changes
    Then a job with an estimate of 4000 ms is expected to take 450 to 750 ms

  Scenario: a snapshot of the earlier release, without durations, is read
    Given a workflow leader
    And 4 workers of 4 cores
    When 20 jobs with estimates of 4000 ms, which take 500 ms, complete
    And the state is restored from a snapshot without durations
    Then a job with an estimate of 4000 ms is expected to take 4000 to 4000 ms
    When 20 jobs with estimates of 4000 ms, which take 500 ms, complete
    Then a job with an estimate of 4000 ms is expected to take 450 to 750 ms

  Scenario Outline: runs that tell nothing about their work are not learned from
    Given a workflow leader
    And 4 workers of 4 cores
    When a job completes whose task <trait>
    Then no duration has been learned

    Examples:
      | trait                            |
      | fails at first                   |
      | reads data from a rack           |
      | fills idle capacity              |
      | ends while the event loop is blocked |

  Scenario: replicas that apply the same ends know the same, with a small entry
    Given a workflow leader
    And 4 workers of 4 cores
    When 20 jobs with estimates of 4000 ms, which take 500 ms, complete
    Then a replica that applies the same commands has the same durations
    And the duration of a run adds at most 16 bytes to its end

  # Guards against speculative copies and restarts of work whose estimate was too low.
  Scenario: work that takes longer than its estimate, as its class does, is neither copied nor stopped
    Given a workflow leader
    And 4 workers of 4 cores
    When 20 jobs with estimates of 20 ms, which take 500 ms, complete
    And a job of 4 tasks that may be copied, with estimates of 20 ms, runs for 490 ms
    Then 24 runs were started

  Scenario: a task that takes much longer than the others of its step is copied
    Given a workflow leader
    And 4 workers of 4 cores
    When 20 jobs with estimates of 500 ms, which take 500 ms, complete
    And worker w1 completes new tasks after 60000 ms
    And a job of 12 tasks that may be copied, with estimates of 60000 ms, runs for 4000 ms
    Then at least 1 task was copied

  Scenario: a job that cannot be in time is counted and logged once
    Given a workflow leader
    And 4 workers of 4 cores
    When 20 jobs with estimates of 500 ms, which take 500 ms, complete
    And 80 jobs of 1 task are submitted 2 ms apart
    And 600 ms of workflow time pass
    Then jobs are expected to be late, each of which is logged once

  Scenario: without the feature the submitted estimates are used, and learning goes on
    Given a workflow leader without learned durations
    And 4 workers of 4 cores
    When 20 jobs with estimates of 500 ms, which take 500 ms, complete
    Then a job with an estimate of 500 ms is expected to take 450 to 750 ms
    When worker w1 completes new tasks after 60000 ms
    And a job of 12 tasks that may be copied, with estimates of 60000 ms, runs for 4000 ms
    Then no task was copied
