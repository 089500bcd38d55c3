Feature: Advisor queries are sent for what can start, the most urgent first
  Guards against instances that are occupied by queries whose answers cannot be used.

  Background:
    Given a workflow leader

  # Guards against queries whose answers expire unused because the organisation is at its limit.
  Scenario: an organisation at its limit: nothing is queried until one of its runs ends
    Given an advisor that takes 100 ms and 1 ms per endpoint, queried by 4 instances
    And 10 workers of 4 cores
    And the organisation is limited to 8 cores
    When a job "a" of 8 tasks of 3000 ms is submitted
    And 600 ms of workflow time pass
    And a job "b" of 8 tasks of 3000 ms is submitted
    And 1500 ms of workflow time pass
    Then no query was sent for job "b"
    When 2500 ms of workflow time pass
    Then a query for job "b" was sent within 20 ms of the first end of job "a"
    And job "b" has 8 runs

  # Guards against urgent steps that wait for an answer whenever their organisation leaves its limit.
  Scenario: an organisation at its limit: a call that is short compared with a ticket is made ahead
    Given an advisor that takes 30 ms and 1 ms per endpoint, queried by 4 instances
    And 10 workers of 4 cores
    And the organisation is limited to 8 cores
    When a job "a" of 8 tasks of 3000 ms is submitted
    And 600 ms of workflow time pass
    And a job "b" of 8 tasks of 3000 ms is submitted
    And 1500 ms of workflow time pass
    Then a query was sent for job "b"
    When 2500 ms of workflow time pass
    Then job "b" has 8 runs

  # Guards against queries for more endpoints than the rest of a limit can use.
  Scenario: an organisation close to its limit: a query is for the tasks that the limit admits
    Given an advisor that takes 100 ms and 10 ms per endpoint, queried by 4 instances
    And 60 workers of 1 cores
    And the organisation is limited to 2 cores
    When a job "a" of 50 tasks of 3000 ms is submitted
    And 600 ms of workflow time pass
    Then no query named more than 12 endpoints

  # Guards against calls for steps that have ended while their query was waiting.
  Scenario: a query that waits while its job is cancelled is dropped
    Given an advisor that takes 100 ms and 1 ms per endpoint, queried by 0 instances
    And 2 workers of 4 cores
    When a job "a" of 2 tasks of 3000 ms is submitted
    And job "a" is cancelled
    And an instance polls for a query for 100 ms
    Then the instance gets no query
    And 1 advice requests had the result "not-waiting"

  # Guards against calls that start nothing and that no metric shows.
  Scenario: answers that a start has used and others are counted
    Given an advisor that takes 100 ms and 1 ms per endpoint, queried by 2 instances
    And 1 workers of 4 cores
    When a job "a" of 4 tasks of 300 ms is submitted
    And 500 ms of workflow time pass
    And the advisor denies all workers
    And a job "b" of 4 tasks of 300 ms is submitted
    And 500 ms of workflow time pass
    And job "b" is cancelled
    Then 1 advice requests had the result "used"
    And 1 advice requests had the result "unused"

  # Guards against queries about capacity that was taken while the query was waiting.
  Scenario: the endpoints of a query are those with room when an instance sends it
    Given an advisor that takes 100 ms and 1 ms per endpoint, queried by 0 instances
    And 40 workers of 4 cores
    When a job "a" of 4 tasks of 3000 ms is submitted
    And 38 tasks of 4 cores start without the advisor
    And an instance polls for a query for 100 ms
    Then the instance gets a query about all endpoints with room

  # Guards against the same fault without late binding, which an operator may switch off.
  Scenario: without advice scheduling, the endpoints are chosen when the query is queued
    Given an advisor that takes 100 ms and 1 ms per endpoint, queried by 0 instances, without advice scheduling
    And 40 workers of 4 cores
    When a job "a" of 4 tasks of 3000 ms is submitted
    And 38 tasks of 4 cores start without the advisor
    And an instance polls for a query for 100 ms
    Then the instance gets a query that misses endpoints with room

  # Guards against a late step that keeps an instance from one that can still be in time.
  Scenario: within a priority, the least slack goes first, and late steps come last
    Given an advisor that takes 100 ms and 1 ms per endpoint, queried by 0 instances
    And 4 workers of 4 cores
    And the target of the queue is 2 times the duration and 500 ms
    When a job "late" of 1 tasks of 100 ms is submitted
    And 2000 ms of workflow time pass
    And a job "patient" of 1 tasks of 5000 ms is submitted
    And a job "pressing" of 1 tasks of 200 ms is submitted
    Then queries are sent for jobs "pressing, patient, late" in this order

  # Guards against late steps that are never queried about while others keep arriving.
  Scenario: a late step is queried about although steps with less slack keep arriving
    When 10 late queries wait while others of 50 ms with little slack arrive faster than they are sent
    Then all late queries were sent within 4000 ms

  # Guards against urgent queries that wait for the end of a long call, which takes up to a second.
  Scenario: bursts of urgent steps while long steps query: urgent calls find an instance
    When 60 long queries of 700 ms are kept waiting for 39 instances
    And bursts of 10 urgent queries of 40 ms arrive every 400 ms for 10000 ms
    Then 95 % of the urgent queries after the first 1000 ms were sent within 100 ms
    And long calls got at least 50 % of the time of the instances

  # Guards against instances that stay idle for urgent queries that do not come.
  Scenario: long steps alone query with all instances
    When 60 long queries of 700 ms are kept waiting for 39 instances
    And 5000 ms of workflow time pass
    Then long calls got at least 97 % of the time of the instances

  # Guards against an idle advisor behind queries that nobody needs any more, and a leader that
  # assembles all of them at once.
  Scenario: 118 waiting queries are no longer needed: the next needed one is sent at once
    When 118 queries wait of which the last one only is needed
    And an instance polls the broker
    Then the instance gets the last query at once

  # Guards against a step that waits for its next query although its tickets are for full endpoints.
  Scenario: all capacity is taken between question and answer: the step queries about other endpoints
    Given an advisor that takes 100 ms and 1 ms per endpoint, queried by 2 instances
    And 4 workers of 4 cores
    When a job "a" of 4 tasks of 300 ms is submitted
    And all capacity is taken by other tasks while the query is in flight
    And 4 workers of 4 cores
    And 500 ms of workflow time pass
    Then job "a" has 4 runs

  # Guards against calls that ask again what the advisor has already denied.
  Scenario: endpoints that may not run a step are not named again
    Given an advisor that takes 20 ms and 1 ms per endpoint, queried by 2 instances
    And 20 workers of 1 cores
    And the advisor denies all workers but the last 4
    When a job "a" of 8 tasks of 300 ms is submitted
    And 3000 ms of workflow time pass
    Then job "a" has 8 runs
    And no query named an endpoint that an earlier answer for its step had denied

  # Guards against steps that all query about the same room, which the first of them uses.
  Scenario: a less urgent step does not query about room that urgent queries are expected to use
    Given an advisor that takes 100 ms and 1 ms per endpoint, queried by 5 instances
    And an urgent queue
    And 8 workers of 1 cores
    And the organisation has a run
    When a job "u1" of 8 tasks of 3000 ms is submitted to the urgent queue
    And a job "u2" of 8 tasks of 3000 ms is submitted to the urgent queue
    And a job "u3" of 8 tasks of 3000 ms is submitted to the urgent queue
    And a job "a" of 3 tasks of 3000 ms is submitted
    Then no query was sent for job "a"

  # Guards against urgent steps that wait for the answer to a query of a less urgent one.
  Scenario: an urgent step queries about room that a less urgent query is expected to use
    Given an advisor that takes 100 ms and 1 ms per endpoint, queried by 2 instances
    And an urgent queue
    And 1 workers of 4 cores
    When a job "a" of 4 tasks of 3000 ms is submitted
    And a job "u" of 4 tasks of 3000 ms is submitted to the urgent queue
    Then a query was sent for job "u"

  # Guards against calls about room that was freed for another step.
  Scenario Outline: room that is reserved for another step is named last
    Then a query of a step of priority <priority> names <first> first if the room on w1 is reserved for one of priority 1

    Examples: more urgent work may take the room
      | priority | first |
      | 0        | w1    |
      | 1        | w2    |
      | 2        | w2    |

  Scenario Outline: the endpoints of a query are weighed from the cost of the call and the tasks
    Then for <tasks> tasks and endpoints with <slots> slots and a probability of <probability>, a call of <fixed> ms and <each> ms names <min> to <max> endpoints

    Examples: the fixed part favours more endpoints, the part per endpoint fewer
      | tasks | slots | probability | fixed | each | min | max |
      | 1     | 1     | 1           | 390   | 5.6  | 1   | 3   |
      | 1     | 1     | 0.35        | 390   | 5.6  | 4   | 12  |
      | 10    | 1     | 0.7         | 31    | 0.44 | 14  | 20  |
      | 10    | 1     | 0.35        | 390   | 5.6  | 28  | 40  |
      | 10    | 1     | 0.35        | 10    | 5.6  | 20  | 30  |
      | 10    | 5     | 0.7         | 31    | 0.44 | 3   | 8   |
      | 100   | 1     | 0.35        | 390   | 5.6  | 100 | 100 |

  # Guards against steps that wait for the deadline of every query of a failed instance.
  Scenario: an instance fails with a query: another one sends it, with the endpoints of that moment
    Given an advisor that takes 100 ms and 1 ms per endpoint, queried by 2 instances
    And 2 workers of 4 cores
    And instance "i0" fails with its next query
    When a job "a" of 2 tasks of 3000 ms is submitted
    And 1000 ms of workflow time pass
    Then job "a" has 2 runs

  # Guards against queries of the former leader that keep the next one from its own.
  Scenario: the leader changes while queries wait and are in flight
    Given an advisor that takes 100 ms and 1 ms per endpoint, queried by 2 instances
    And 10 workers of 4 cores
    When 10 jobs of 4 tasks of 60000 ms are submitted at once
    And the workflow leader changes
    And 2 instances query the advisor for the new leader
    And 2500 ms of workflow time pass
    Then at least 40 runs were started

  # Guards against call time that is spent on answers which limits and full endpoints make useless.
  Scenario Outline: a quarter of deployment K at the limits of its organisations: less call time, as many starts
    When <load> times the load of a quarter of deployment K is submitted for 12 s in bursts of 10, with and without advice scheduling
    Then advice scheduling takes at most <percent> % of the former call time
    And advice scheduling starts at least 97 % of the former runs

    Examples:
      | load | percent |
      | 1.4  | 40      |
      | 1.7  | 40      |
