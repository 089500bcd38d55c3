Feature: Consensus under seeded schedules
  Runs a simulated cluster with random faults. Guards against lost or changed commits, two leaders
  in a term, two valid leaders at a time, votes of a lost replica, and clusters that never recover.

  Scenario Outline: all protocol rules hold with <kind>
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
      | slow starts        | 1000  |
      | combined           | 800   |

  # Guards against a lease of an earlier leader that is taken for expired, because a replica forgets
  # its own validity when it is elected again and never becomes valid.
  Scenario: the validity of an earlier leader is known after elections of leaders that never were valid
    When 1 consensus schedules with "elections" run from seed 1172
    Then no rule of consensus is broken

  # Guards against an acknowledged entry that is on too few disks when, at the moment of its
  # acknowledgement, all replicas lose power and as many of them as tolerated lose their disks.
  Scenario Outline: acknowledged entries of <voters> voters survive lost disks and power
    When <count> consensus schedules with "lost disks and power" and <voters> voters run from seed 1
    Then no rule of consensus is broken

    Examples:
      | voters | count |
      | 3      | 500   |
      | 4      | 500   |
      | 5      | 500   |
      | 6      | 400   |
      | 9      | 200   |

  # Guards against gateways that lose validity because an election needs several full timeouts.
  Scenario Outline: <count> clusters of <voters> voters replace a killed leader within one round and a retry
    When the leader is killed in <count> clusters of <voters> voters with heartbeats of <heartbeat> ms and election timeouts of <min> to <max> ms
    Then each has a valid leader again within one maximum election timeout and three heartbeats

    Examples:
      | count | voters | heartbeat | min | max  |
      | 600   | 3      | 100       | 600 | 1200 |
      | 600   | 4      | 100       | 600 | 1200 |
      | 600   | 5      | 100       | 600 | 1200 |
      | 600   | 3      | 60        | 350 | 700  |
      | 600   | 4      | 60        | 350 | 700  |
      | 600   | 5      | 60        | 350 | 700  |

  # Verifies the checker itself: disabling one mechanism at a time must break a rule.
  Scenario Outline: the checker detects the mutation "<mutation>"
    When up to <count> consensus schedules with "<kind>" run from seed <seed> under the mutation "<mutation>"
    Then the consensus checker reports "<rule>" with a seed

    Examples:
      | mutation                                                  | kind                 | seed | count | rule                       |
      | acknowledgement before the write completes                | elections            | 1    | 100   | committed entries persist  |
      | acknowledgement before the write completes                | lost disks and power | 1    | 50    | committed entries persist  |
      | vote before the write completes                           | elections            | 1    | 300   | election safety            |
      | log position is ignored in votes                          | crashes              | 1    | 50    | committed entries persist  |
      | log position is ignored in appends                        | elections            | 3    | 1     | log matching               |
      | snapshots contain a different state                       | snapshots            | 1    | 20    | state machine safety       |
      | learners refuse every vote                                | membership           | 100  | 50    | liveness                   |
      | entries of earlier terms commit by counting replicas      | elections            | 1    | 400   | committed entries persist  |
      | no leader lease after restart                             | leases               | 200  | 200   | one valid leader           |
      | votes during a leader lease                               | leases               | 1    | 50    | one valid leader           |
      | votes hide a recent contact with the leader               | leases               | 1    | 300   | predecessor end            |
      | leader validity starts at the receipt of acknowledgements | transfers            | 1    | 150   | one valid leader           |
      | leader validity survives a transfer                       | transfers            | 1    | 100   | one valid leader           |
      | replica keeps its id after disk loss                      | lost disks           | 1    | 20    | lost replica sends nothing |
      | membership changes without a commit in the term           | membership races     | 3100 | 100   | committed entries persist  |
