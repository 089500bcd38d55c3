Feature: Evacuations of data centres
  Guards against work that starts in a data centre that an operator has evacuated, and against an
  evacuation that is acknowledged and then lost.

  Scenario: running work continues, new work and restarted services go elsewhere
    Given a workflow leader
    And 2 workers of 4 cores in data centre "north"
    And 2 workers of 4 cores in data centre "south"
    When job "old" of 16 tasks of 3000 ms is submitted
    And 100 ms of workflow time pass
    Then 8 tasks are running in "north"
    When "north" is evacuated
    And 2000 ms of workflow time pass
    Then 8 tasks are running in "north"
    When 15000 ms of workflow time pass
    Then job "old" is "completed"
    And no task was started more than once
    When service "s" of 6 tasks is submitted
    And 1000 ms of workflow time pass
    Then 0 tasks are running in "north"
    When the evacuation of "north" ends
    And job "new" of 8 tasks of 3000 ms is submitted
    And 500 ms of workflow time pass
    Then at least 6 tasks are running in "north"

  # Guards against a service that stays down because its endpoint may not be used again.
  Scenario: a service whose runs end in an evacuated data centre restarts elsewhere
    Given a workflow leader
    And 2 workers of 4 cores in data centre "north"
    And 2 workers of 4 cores in data centre "south"
    When service "s" of 4 tasks of which 1 may be unavailable is submitted
    And 500 ms of workflow time pass
    Then 2 tasks are running in "north"
    When "north" is evacuated
    And the tasks of "s" need not be spread
    And worker w1 restarts
    And 3000 ms of workflow time pass
    Then 1 tasks are running in "north"
    And 3 tasks are running in "south"

  # Guards against starts that were decided before the commit of the evacuation and ordered after it.
  Scenario Outline: a start decided before an evacuation is not ordered after it
    Given a workflow leader
    And 2 workers of 4 cores in data centre "north"
    And 2 workers of 4 cores in data centre "south"
    And starts are committed late
    When <job> "j" of 8 tasks is submitted
    And 50 ms of workflow time pass
    And "north" is evacuated
    And the late starts are committed
    And 3000 ms of workflow time pass
    Then job "j" is "completed"
    And nothing has started in "north" since its evacuation
    And runs were lost as "evacuated"

    Examples:
      | job      |
      | job      |
      | gang job |

  # Guards against a gang whose members in other data centres start and wait for the others in vain.
  Scenario: no member of a gang is ordered if the data centre of one is evacuated
    Given a workflow leader
    And 1 workers of 2 cores in data centre "north"
    And 1 workers of 2 cores in data centre "south"
    And starts are committed late
    When gang job "g" of 4 tasks is submitted
    And 50 ms of workflow time pass
    And "north" is evacuated
    And the late starts are committed
    And 3000 ms of workflow time pass
    Then 0 runs were started
    When the evacuation of "north" ends
    And 3000 ms of workflow time pass
    Then job "g" is "completed"

  Scenario: a start that waits for the validity of its leader is not ordered after an evacuation
    Given a workflow leader
    And 1 workers of 4 cores in data centre "north"
    When the workflow leader loses its majority after committing its next starts
    And job "j" of 4 tasks is submitted
    And 100 ms of workflow time pass
    And an evacuation of "north" is committed without the knowledge of the session
    And the workflow leader regains its majority
    And 1000 ms of workflow time pass
    Then 0 runs were started

  # Guards against a new leader that schedules before it knows of the evacuation.
  Scenario: the leader dies right after the commit of an evacuation
    Given a workflow leader
    And 2 workers of 4 cores in data centre "north"
    And 1 workers of 4 cores in data centre "south"
    When job "old" of 12 tasks of 300 ms is submitted
    And job "j" of 40 tasks of 300 ms is submitted
    And 100 ms of workflow time pass
    And an evacuation of "north" is committed without the knowledge of the session
    And the workflow leader changes
    And 30000 ms of workflow time pass
    Then job "j" is "completed"
    And nothing has started in "north" since its evacuation

  Scenario Outline: all replicas restart during an evacuation
    Given a workflow leader
    And 2 workers of 4 cores in data centre "north"
    And 1 workers of 4 cores in data centre "south"
    When "north" is evacuated
    And all replicas restart with <snapshot>
    And job "j" of 12 tasks is submitted
    And 5000 ms of workflow time pass
    Then job "j" is "completed"
    And <result>

    Examples:
      | snapshot                            | result                                            |
      | their snapshot                      | nothing has started in "north" since its evacuation |
      | a snapshot of the release before    | "north" is not evacuated                          |

  Scenario: an evacuation affects no maintenance
    Given a workflow leader
    And 2 workers of 4 cores in data centre "north"
    And 2 workers of 4 cores in data centre "south"
    When "north" is evacuated
    And a wave over 4 instances with at most 1 down is opened
    And 30000 ms of workflow time pass
    Then the wave is completed with 4 instances maintained
    And at most 1 instances were down at once

  # Guards against an operator who sees work wait and cannot tell why.
  Scenario: work that waits for evacuated endpoints says so
    Given a workflow leader
    And 3 workers of 4 cores in data centre "north"
    When "north" is evacuated
    And job "j" of 1 tasks is submitted
    And 3000 ms of workflow time pass
    Then job "j" is "queued"
    And the log explains a wait with 3 evacuated endpoints
    And the metrics show 1 evacuation and 3 evacuated endpoints
    When the evacuation of "north" ends
    And 1000 ms of workflow time pass
    Then job "j" is "completed"

  Scenario: changes are decided on the version that the caller has read
    Given no evacuations
    Then these changes of evacuations give
      | change | data centre | version | result   |
      | begin  | north       | 0       | accepted |
      | begin  | north       | 0       | accepted |
      | end    | north       | 0       | outdated |
      | begin  | south       | 0       | accepted |
      | end    | north       | 2       | accepted |
      | end    | north       | 2       | accepted |
      | begin  | north       | 0       | outdated |
      | begin  | north       | 2       | outdated |
      | begin  | north       | 3       | accepted |
    And "north south" are evacuated

  # Guards against a state that grows with each name that is ever sent.
  Scenario: the number of stored data centres is bounded
    Given no evacuations
    When 256 data centres are evacuated
    Then another evacuation is "full"
    And the first evacuation is still accepted
    When one evacuation ends
    Then another evacuation is "accepted"
    And an outdated repetition of the forgotten one is "outdated"

  # Guards against an acknowledged evacuation that is repeated at another replica and refused there.
  Scenario: a lost response and a repetition at another replica
    Given a gateway and the replicas "r1 r2 r3"
    And replica "r1" leads
    And the gateway knows the leader
    When an operator begins the evacuation of "north"
    And 10 ms of the calls pass
    And replica "r1" commits its proposals
    And replica "r1" is disconnected
    And replica "r2" leads
    And an operator begins the evacuation of "north"
    And replica "r2" commits its proposals every 5 ms for 600 ms
    Then the caller got status 200
    And "north" is evacuated in the stored state
    When an operator ends the evacuation of "north"
    And replica "r2" commits its proposals every 5 ms for 600 ms
    Then the caller got status 200
    When an operator ends the evacuation of "north"
    And replica "r2" commits its proposals every 5 ms for 600 ms
    Then the caller got status 200
    And "" is evacuated in the stored state

  # Guards against an evacuation that the operator has withdrawn and that comes back.
  Scenario: an evacuation begins and ends in quick succession
    Given a gateway and the replicas "r1 r2 r3"
    And replica "r1" leads
    And the gateway knows the leader
    When an operator begins the evacuation of "north"
    And 10 ms of the calls pass
    And an operator ends the evacuation of "north"
    And 10 ms of the calls pass
    And replica "r1" commits its proposals
    And 20 ms of the calls pass
    Then the caller got status 504
    When an operator ends the evacuation of "north"
    And replica "r1" commits its proposals every 5 ms for 50 ms
    Then the caller got status 200
    And "" is evacuated in the stored state

  # Guards against an acknowledgement of an evacuation that the next leader does not know.
  Scenario: an evacuation is not acknowledged before it is committed
    Given a gateway and the replicas "r1 r2 r3"
    And replica "r1" leads
    And the gateway knows the leader
    When an operator begins the evacuation of "north"
    And 200 ms of the calls pass
    Then the call is not answered
    When replica "r1" is deposed
    And 2600 ms of the calls pass
    Then the caller got status 504

  Scenario Outline: names of data centres are checked
    Given a gateway and the replicas "r1 r2 r3"
    And replica "r1" leads
    And the gateway knows the leader
    When an operator begins the evacuation of path "<path>"
    And replica "r1" commits its proposals every 5 ms for 50 ms
    Then <result>

    Examples:
      | path        | result                                                   |
      | z-a         | the caller got status 200                                |
      | z%C3%BCrich | the caller got status 200                                |
      | %00         | the call is invalid: "expected up to 256 characters"     |
      | a%0Ab       | the call is invalid: "expected up to 256 characters"     |
      | %E0%A4%A    | the call is invalid: "not a valid path"                  |
      | 300 x       | the call is invalid: "expected up to 256 characters"     |
      |             | the caller got status 404                                |
      | a/b         | the caller got status 404                                |
