Feature: Consensus under seeded schedules
  Random faults in a simulated cluster guard against lost or changed commits, two leaders in a
  term, two valid leaders at a time, votes of a lost replica, and clusters that never recover.

  Scenario Outline: every rule holds with <kind>
    When <count> consensus schedules with "<kind>" run from seed 1
    Then no rule of consensus is broken

    Examples:
      | kind               | count |
      | unreliable network | 1000  |
      | crashes            | 1000  |
      | partitions         | 700   |
      | pauses             | 1000  |
      | snapshots          | 900   |
      | lost disks         | 900   |
      | membership         | 900   |
      | membership races   | 900   |
      | transfers          | 900   |
      | leases             | 1000  |
      | elections          | 1000  |
      | everything         | 800   |

  # A checker that cannot fail proves nothing, so one mechanism at a time is switched off.
  Scenario Outline: the checker notices <mutation>
    When up to <count> consensus schedules with "<kind>" run from seed <seed> under the mutation "<mutation>"
    Then the consensus checker reports "<rule>" with a seed

    Examples:
      | mutation                                             | kind             | seed | count | rule                   |
      | acknowledgement before the write completes           | elections        | 1    | 100   | committed entries stay |
      | vote before the write completes                      | elections        | 1    | 300   | one leader a term      |
      | log position is ignored in votes                     | crashes          | 1    | 50    | committed entries stay |
      | log position is ignored in appends                   | elections        | 5    | 1     | log matching           |
      | snapshots hold another state                         | snapshots        | 1    | 20    | same order everywhere  |
      | learners refuse every vote                           | membership       | 1    | 50    | liveness               |
      | entries of earlier terms commit by counting          | elections        | 1    | 400   | committed entries stay |
      | no wait after restart                                | leases           | 400  | 200   | one valid leader       |
      | votes while a leader is heard                        | leases           | 1    | 50    | one valid leader       |
      | validity counts from the receipt of acknowledgements | transfers        | 1    | 150   | one valid leader       |
      | validity survives a transfer                         | transfers        | 1    | 100   | one valid leader       |
      | lost replica keeps its id                            | lost disks       | 1    | 20    | lost replica is silent |
      | membership changes do not wait                       | membership races | 7000 | 100   | committed entries stay |
