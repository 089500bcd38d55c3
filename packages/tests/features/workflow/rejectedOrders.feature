Feature: Rejected start orders
  Guards against a scheduler that learns nothing from a rejected order and chooses the same endpoint
  again at once: each round costs two commits and an order, and the task stays down.

  Background:
    Given a workflow leader
    And 2 workers of 4 cores

  Scenario Outline: endpoints that reject an order as <outcome> are not asked again at once
    Given all workers reject start orders as "<outcome>"
    When job "j" of 1 task of 400 ms is submitted
    And 2000 ms of workflow time pass
    Then at most 10 start orders were rejected
    When all workers accept start orders again
    And 3000 ms of workflow time pass
    Then job "j" is "completed"

    Examples:
      | outcome        |
      | no-room        |
      | unhealthy      |
      | wrong-instance |
      | late           |
      | superseded     |
      | invalid        |

  Scenario: an endpoint that rejects an order does not keep the others waiting
    Given worker w1 rejects start orders as "no-room"
    When job "j" of 4 tasks is submitted
    And 1000 ms of workflow time pass
    Then job "j" is "completed"

  Scenario: an endpoint that has no room is inspected before it gets another order
    Given worker w1 rejects start orders as "no-room"
    And worker w2 rejects start orders as "no-room"
    When job "j" of 1 task of 400 ms is submitted
    And 20 ms of workflow time pass
    Then an endpoint was inspected after it had rejected an order

  Scenario: a ticket that has expired while the start was committed is not used
    Given a queue with an advisor
    And 2 workers of 4 cores
    And an instance that answers queries
    And starts take 3000 ms to commit
    When job "j" of 4 tasks is submitted
    And 3500 ms of workflow time pass
    Then 0 runs were started
    When starts take 0 ms to commit
    And 6000 ms of workflow time pass
    Then job "j" is "completed"
