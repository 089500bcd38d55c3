Feature: Policies of workflows
  Each scenario states the load or failure that a rule addresses.

  Scenario Outline: best-effort tasks slow down before latency-sensitive tasks miss their targets
    Then best-effort tasks at <pace> % with a tail of <ratio> of its target, unchanged for <since> ms, continue at <next> %

    Examples:
      | pace | ratio | since | next |
      | 100  | 0.5   | 5000  | 100  |
      | 100  | 0.9   | 0     | 50   |
      | 30   | 0.9   | 0     | 0    |
      | 100  | 1.2   | 0     | 0    |
      | 0    | 0.5   | 500   | 0    |
      | 0    | 0.5   | 1500  | 25   |
      | 90   | 0.5   | 1500  | 100  |
      | 50   | 0.7   | 9000  | 50   |

  Scenario: endpoints of different speed: the one where a task ends first is chosen
    Given the candidate endpoints
      | id   | factor | load |
      | slow | 1.7    | 0    |
      | fast | 0.7    | 0.5  |
    Then a task is placed on "fast"

  Scenario: equal endpoints: the one with more free capacity is chosen
    Given the candidate endpoints
      | id    | factor | load |
      | full  | 1      | 0.9  |
      | empty | 1      | 0.1  |
    Then a task is placed on "empty"

  Scenario Outline: fast endpoints are left to urgent work by work that is in time on slow ones
    Given the candidate endpoints
      | id       | factor | load |
      | impaired | 3      | 0    |
      | slow     | 1.7    | 0    |
      | fast     | 0.7    | 0    |
    Then a task of <work> ms with a slack of <slack> ms is placed on "<endpoint>"

    Examples:
      | work | slack | endpoint |
      | 1000 | 300   | fast     |
      | 1000 | 1500  | slow     |
      | 1000 | 1100  | fast     |
      | 1000 | 90000 | slow     |

  Scenario: patient work is not placed on an endpoint where it would be late
    Given the candidate endpoints
      | id   | factor | load |
      | slow | 1.7    | 0    |
      | fast | 1.2    | 0.9  |
    Then a task of 1000 ms with a slack of 1100 ms is placed on "fast"

  Scenario: large tasks fill endpoints up, so that others stay whole for wide work
    Given the candidate endpoints
      | id      | factor | load | cores |
      | used    | 1      | 0.5  | 64    |
      | empty   | 1      | 0    | 64    |
      | suspect | 1      | 20   | 64    |
    Then a task of 18 cores is placed on "used"
    And a task of 2 cores is placed on "empty"

  # Guards against a job that loses most of its tasks with one endpoint.
  Scenario: large tasks of one step are spread
    Given the candidate endpoints
      | id    | factor | load | cores | tasks |
      | first | 1      | 0.5  | 64    | 1     |
      | other | 1      | 0    | 64    | 0     |
    Then a task of 18 cores is placed on "other"

  Scenario: a loaded rack: data locality outweighs load, unless no endpoint is local
    Given the candidate endpoints
      | id   | factor | load | rack |
      | near | 1      | 0.9  | r1   |
      | far  | 1      | 0    | r2   |
    Then a task with data in rack "r1" is placed on "near"
    And a task with data in rack "r3" is placed on "far"

  Scenario: endpoints without failed runs of the step are preferred
    Given the candidate endpoints
      | id   | factor | load | failures |
      | bad  | 0.5    | 0    | 1       |
      | good | 1.7    | 0.9  | 0       |
    Then a task is placed on "good"

  Scenario: best-effort tasks are kept apart from latency-sensitive tasks
    Given the candidate endpoints
      | id      | factor | load | sensitive |
      | service | 1      | 0    | yes     |
      | other   | 1      | 0.9  |         |
    Then a best-effort task is placed on "other"

  Scenario: a lease expires only when even the slowest permitted clock has reached its end
    Given an endpoint clock that was read as 1000 ms at 50 ms
    When a lease of 5000 ms is granted at 50 ms
    Then the lease may be valid at 5100 ms
    And the lease has certainly expired at 5200 ms

  Scenario: a lease granted some time after a clock reading allows for the slowest permitted clock
    Given an endpoint clock that was read as 1000 ms at 0 ms
    Then a lease of 5000 ms granted at 1000 ms ends at 6980 ms on the endpoint's clock

  # Guards against leases that have ended before they begin, so that each order comes too late.
  Scenario: the reading in a delayed heartbeat does not replace a better one
    Given an endpoint clock that was read as 10000 ms at 0 ms
    When a heartbeat with a reading of 4000 ms arrives at 500 ms
    Then a lease of 5000 ms granted at 1000 ms ends at 15980 ms on the endpoint's clock
    When a heartbeat with a reading of 10990 ms arrives at 1000 ms
    Then a lease of 5000 ms granted at 1000 ms ends at 15990 ms on the endpoint's clock

  Scenario: after a suspension, the clock is unreliable until cached state has been renewed
    Given a suspension detector with a recovery time of 300 ms
    Then the clock is reliable
    When the process is suspended for 4000 ms
    Then the clock is not reliable
    When 310 ms pass on both clocks
    Then the clock is reliable

  Scenario: estimates are corrected per kind of endpoint
    When 20 tasks of kind "b" take 1700 ms instead of 1000 ms
    Then a task of kind "b" is expected to take 1.7 times its estimate

  Scenario: an endpoint that has become slower than its kind is detected
    When 20 tasks of kind "a" take 1000 ms instead of 1000 ms
    And 10 tasks on "w9" of kind "a" take 6000 ms instead of 1000 ms
    Then "w9" is at least 2 times slower than its kind

  Scenario: a burst that exceeds the capacity: jobs that can still be in time go first
    Given waiting jobs of 1000 ms that should end within 1500 ms
      | id      | priority | waitedMs |
      | overdue | 1        | 9000     |
      | late    | 1        | 2000     |
      | old     | 1        | 400      |
      | fresh   | 1        | 10       |
      | urgent  | 0        | 2000     |
    Then they are scheduled in the order "urgent old fresh late overdue"

  Scenario: a large organisation floods a full fleet: organisations below their share go first
    Given waiting jobs of 1000 ms that should end within 1500 ms
      | id    | priority | waitedMs | use  |
      | large | 1        | 400      | 9000 |
      | small | 1        | 10       | 1000 |
      | urgent | 0       | 10       | 9000 |
    Then they are scheduled in the order "urgent small large"

  Scenario: organisations with similar usage of their shares: the oldest job goes first
    Given waiting jobs of 1000 ms that should end within 1500 ms
      | id    | priority | waitedMs | use  |
      | young | 1        | 10       | 1000 |
      | old   | 1        | 400      | 1100 |
    Then they are scheduled in the order "old young"

  Scenario: a service has no deadline
    Given waiting services of 1000 ms that should end within 1500 ms
      | id    | priority | waitedMs |
      | first | 1        | 9000     |
      | next  | 1        | 100      |
    Then they are scheduled in the order "first next"

  Scenario: a full fleet: an unplaced step is re-evaluated only after a relevant change
    Given a step of 2 tasks that could not be placed, with tickets for "w1"
    Then it is skipped
    When a run on "w2" is released
    Then it is skipped
    When a run on "w1" is released
    Then it is re-evaluated
    When its placement fails again
    Then it is skipped
    When a ticket for "w3" arrives
    Then it is re-evaluated

  Scenario: a full fleet: withdrawing a tentative reservation frees no capacity
    Given a step of 2 tasks that could not be placed, with tickets for "w1"
    When a run on "w1" is withdrawn
    Then it is skipped

  # Guards against a leader that re-evaluates a job without a pause.
  Scenario: an occurrence that is due later than the longest timer waits until it is due
    When an occurrence that is due in 60 days is scheduled
    And 59 days pass for the occurrence
    Then the occurrence has been due 0 times
    When 1 days pass for the occurrence
    Then the occurrence has been due 1 times

  # Guards against runs that count as unsettled because responses overtook each other.
  Scenario Outline: the clock in a response tells whether it is of the same incarnation
    Given an endpoint clock that was read as 10000 ms at 500 ms
    Then a reading of <reading> ms in a response from <sent> to <received> ms is <verdict>

    Examples:
      | reading | sent | received | verdict                 |
      | 10100   | 595  | 605      | of this incarnation     |
      | 9990    | 485  | 505      | of this incarnation     |
      | 9980    | 485  | 505      | not of this incarnation |
      | 10300   | 595  | 605      | not of this incarnation |
      | 9990    | 500  | 505      | not of this incarnation |
      | 3000    | 595  | 605      | not of this incarnation |
      | 5000000 | 595  | 605      | not of this incarnation |

  # Guards against the same after a heartbeat that took long.
  Scenario: a delayed heartbeat does not make later responses those of another incarnation
    Given an endpoint clock that was read as 10000 ms at 500 ms
    When a heartbeat with a reading of 10990 ms arrives at 1500 ms
    Then a reading of 11001 ms in a response from 1500 to 1502 ms is of this incarnation
    And a reading of 11100 ms in a response from 1500 to 1502 ms is not of this incarnation
