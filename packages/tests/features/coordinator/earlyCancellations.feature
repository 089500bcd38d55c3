Feature: Cancellations of jobs whose submissions are still on their way
  Guards against a job of the product's own interface that runs although its caller, who knows its id
  from a submission without an outcome, has cancelled it before it was accepted.

  Background:
    Given a leader whose commits are delayed

  Scenario Outline: a submission that arrives after its cancellation ends at once, if its caller may cancel it
    When key "<key>" cancels job A
    And the delayed commits succeed
    Then the cancelled job is reported as "not-found"
    When the cluster state is restored from a snapshot
    And key "laboratories-1" submits job A
    And the delayed commits succeed
    Then job A is "<state>"
    And <count> unknown jobs are recorded as cancelled

    Examples:
      | key            | state     | count |
      | laboratories-1 | cancelled | 0     |
      | operator-1     | cancelled | 0     |
      | utilities-1    | waiting   | 1     |
      |                | waiting   | 1     |

  Scenario: a caller without a key cancels a submission to an open queue
    Given the queue "recomputation" is open
    When key "" cancels job A
    And the delayed commits succeed
    And key "" submits job A
    And the delayed commits succeed
    Then job A is "cancelled"

  # Guards against a cancellation that is compared with the applied state only.
  Scenario Outline: a job is cancelled while its submission is being committed
    When key "laboratories-1" submits job A
    And key "<key>" cancels job A
    And the delayed commits succeed
    Then the cancelled job is reported as "<reported>"
    And job A is "<state>"

    Examples:
      | key            | reported  | state     |
      | laboratories-1 | cancelled | cancelled |
      | utilities-1    | not-found | waiting   |

  # Guards against an acknowledgement that a failure of the leader takes back.
  Scenario: the cancellation of an unknown job is acknowledged once it is committed
    When key "laboratories-1" cancels job A
    Then the cancellation is not answered
    When leadership is lost
    Then the cancellation has failed

  Scenario: a key that has been withdrawn cancels nothing
    When key "withdrawn-1" cancels job A
    Then the cancellation has failed
    And 0 unknown jobs are recorded as cancelled

  # Guards against ids that no submission can have filling the memory of replicas.
  Scenario: an id of another form is not recorded
    When key "laboratories-1" cancels job "none"
    Then the cancelled job is reported as "not-found"
    And 0 unknown jobs are recorded as cancelled

  # Guards against cancellations without a bound, and against an acknowledgement at the bound.
  Scenario: cancellations beyond the bound are reported as not recorded, until others expire
    Given room for 3 cancellations of unknown jobs by a team
    When key "laboratories-1" cancels 3 unknown jobs and then 2
    Then 3 unknown jobs are recorded as cancelled
    And 2 of the latest are reported as "not-recorded"
    When key "laboratories-1" cancels the same jobs again
    Then 3 of the latest are reported as "not-found"
    When key "utilities-1" cancels 1 unknown job
    Then 1 of the latest is reported as "not-found"
    When 601 s of wall time pass
    And key "laboratories-1" cancels 2 unknown jobs
    Then 2 of the latest are reported as "not-found"
    And 2 unknown jobs are recorded as cancelled

  # Guards against a data folder of an earlier release that cannot be read.
  Scenario: a snapshot and a log of the previous release are read
    When key "laboratories-1" submits job A
    And the delayed commits succeed
    And the cluster state is restored from a snapshot of the previous release
    And a cancellation of the previous release is applied to job A
    Then job A is "cancelled"
