Feature: Cancellations that arrive before their submissions
  Guards against a job that runs although its cancellation was acknowledged, as its submission was
  still on its way at that time.

  Background:
    Given a gateway and the replicas "r1 r2 r3"
    And replica "r1" leads
    And the gateway knows the leader

  # Guards against a cancellation of an unknown job that leaves nothing behind.
  Scenario Outline: a submission that arrives after its cancellation is stored as cancelled
    When a caller cancels job "j" with a deadline of 2500 ms
    And replica "r1" commits its proposals every 5 ms for 20 ms
    Then the caller got status 410
    When <event>
    And a caller submits job "j" with a deadline of 2500 ms
    And replica "<leader>" commits its proposals every 5 ms for 20 ms
    Then the caller got status 200
    And job "j" is stored as "cancelled"
    And a caller reads job "j" as "cancelled"

    Examples:
      | event                                          | leader |
      | 10 ms of the calls pass                        | r1     |
      | replica "r2" leads                             | r2     |
      | all replicas restore a snapshot of this release | r1     |

  # Guards against a cancellation that does not see the submission that is being committed.
  Scenario: a job is cancelled while its submission is being committed
    When a caller submits job "j" with a deadline of 2500 ms
    And 10 ms of the calls pass
    And a caller cancels job "j" with a deadline of 2500 ms
    And 10 ms of the calls pass
    And replica "r1" commits its proposals every 5 ms for 20 ms
    Then the caller got status 200
    And job "j" is stored as "cancelled"

  # Guards against a submission that the former leader received, and that is repeated at its successor.
  Scenario: a job is cancelled while its submission is repeated at the next leader
    When a caller submits job "j" with a deadline of 2500 ms
    And 10 ms of the calls pass
    And replica "r1" is disconnected
    And replica "r2" leads
    And another gateway cancels job "j" with a deadline of 2500 ms
    And replica "r2" commits its proposals every 5 ms for 1200 ms
    Then the caller got status 410
    And job "j" is stored as "cancelled"

  # Guards against an acknowledgement that a failure of the leader takes back.
  Scenario: the cancellation of an unknown job is acknowledged once it is committed
    When a caller cancels job "j" with a deadline of 2500 ms
    And 20 ms of the calls pass
    Then the call is not answered
    When the validity of replica "r1" ends
    And replica "r1" commits its proposals
    And 20 ms of the calls pass
    Then the caller got status 410

  # Guards against a definite answer to a cancellation that may not have been recorded.
  Scenario: leadership ends while the cancellation of an unknown job is being committed
    When a caller cancels job "j" with a deadline of 2500 ms
    And 10 ms of the calls pass
    And replica "r1" is deposed
    And 2600 ms of the calls pass
    Then the caller got status 504

  # Guards against a submission that nobody has handed in and that callers see nevertheless.
  Scenario: a cancelled job that was never submitted is unknown
    When a caller cancels job "j" with a deadline of 2500 ms
    And replica "r1" commits its proposals every 5 ms for 20 ms
    Then the caller got status 410
    And a caller reads no job "j"

  # Guards against a data folder of an earlier release that cannot be read.
  Scenario: a snapshot and a log of the previous release are read
    Given job "old" has been accepted by replica "r1"
    When all replicas restore a snapshot of the previous release
    And all replicas apply the cancellations of the previous release for "old" and "none"
    And a caller submits job "none" with a deadline of 2500 ms
    And replica "r1" commits its proposals every 5 ms for 20 ms
    Then job "old" is stored as "cancelled"
    And job "none" is stored as "open"
