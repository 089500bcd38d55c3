Feature: Health of endpoints
  Guards against an endpoint that fails fast and so attracts all work, against a failing job that
  has healthy endpoints ejected, and against so many ejections that no endpoint is left for the work.

  Scenario: different jobs that fail in a row eject an endpoint
    Given 20 endpoints under the 'ejecting' health policy
    When jobs 'a,b' fail on endpoint 1
    Then endpoint 1 is in use
    When jobs 'c' fail on endpoint 1
    Then endpoint 1 is ejected
    And the health listener received 'endpoint-1 ejected'

  Scenario: repeated failures of one job do not eject an endpoint
    Given 20 endpoints under the 'ejecting' health policy
    When jobs 'a,a,a,a' fail on endpoint 1
    Then endpoint 1 is in use

  Scenario: a success resets the failures
    Given 20 endpoints under the 'ejecting' health policy
    When jobs 'a,b' fail on endpoint 1
    And jobs 's' succeed on endpoint 1
    And jobs 'c,d' fail on endpoint 1
    Then endpoint 1 is in use

  Scenario Outline: the probation doubles up to its maximum, plus jitter
    Given 20 endpoints under the 'ejecting' health policy
    When endpoint 1 is ejected <times> times in a row
    Then the probation of endpoint 1 lasts between <least> and <most> seconds

    Examples:
      | times | least | most |
      | 1     | 5     | 10   |
      | 2     | 10    | 20   |
      | 6     | 160   | 320  |
      | 7     | 300   | 600  |
      | 12    | 300   | 600  |

  Scenario: jitter spreads the ends of probations
    Given 20 endpoints under the 'ejecting' health policy
    When endpoints 1 to 6 are ejected at the same time
    Then their probations end at different times

  Scenario: one trial at a time after the probation
    Given 20 endpoints under the 'ejecting' health policy
    When jobs 'a,b,c' fail on endpoint 1
    And 10 seconds of probation pass
    Then endpoint 1 is in use
    When a trial starts on endpoint 1
    Then endpoint 1 is ejected
    When jobs 'late' succeed on endpoint 1
    Then endpoint 1 is ejected
    When the trial succeeds
    Then endpoint 1 is in use
    And the health listener received 'endpoint-1 ejected, endpoint-1 in use, endpoint-1 ejected, endpoint-1 in use'

  Scenario: an abandoned trial is followed by another one
    Given 20 endpoints under the 'ejecting' health policy
    When jobs 'a,b,c' fail on endpoint 1
    And 10 seconds of probation pass
    And a trial starts on endpoint 1
    And the trial is abandoned
    Then endpoint 1 is in use
    When a trial starts on endpoint 1
    And the trial fails
    Then the probation of endpoint 1 lasts between 10 and 20 seconds

  Scenario: a trial can be requested once the shortest probation has passed
    Given 20 endpoints under the 'ejecting' health policy
    When endpoint 1 is ejected 4 times in a row
    And 4 seconds of probation pass
    And a trial of endpoint 1 is requested
    Then endpoint 1 is ejected
    When 1 seconds of probation pass
    And a trial of endpoint 1 is requested
    Then endpoint 1 is in use

  # Guards against a sound endpoint that is kept from all other work by a trial that never ends.
  Scenario Outline: a trial that outlives the failures before it reinstates the endpoint
    Given 20 endpoints under the 'ejecting' health policy
    When jobs 'a,b,c' fail on endpoint 1 after <failed> ms each
    And 10 seconds of probation pass
    And a trial starts on endpoint 1
    And <short> seconds of probation pass
    Then endpoint 1 is ejected
    When 1 seconds of probation pass
    Then endpoint 1 is in use

    Examples:
      | failed | short |
      | 100    | 1     |
      | 3000   | 5     |
      | 50000  | 59    |

  Scenario: another attempt that was placed with the trial reinstates the endpoint if it succeeds
    Given 20 endpoints under the 'ejecting' health policy
    When jobs 'a,b,c' fail on endpoint 1
    And 10 seconds of probation pass
    And a trial starts on endpoint 1
    And job 's' runs on endpoint 1 for 500 ms and succeeds
    Then endpoint 1 is in use

  Scenario: the share of ejected endpoints is limited for each kind of work
    Given 20 endpoints under the 'ejecting' health policy
    When different jobs fail on endpoints 1 to 20
    Then 6 endpoints are ejected
    And 14 endpoints are penalized
    When endpoints 11 to 20 are removed
    Then 3 endpoints are ejected

  Scenario: a bad job ejects no endpoint
    Given 20 endpoints under the 'ejecting' health policy
    When jobs 'a,b' fail on endpoint 1
    And jobs 'bad' fail on endpoint 2
    And jobs 'bad' fail on endpoint 3
    And jobs 'bad' fail on endpoint 4
    And jobs 'bad' fail on endpoint 1
    Then endpoint 1 is in use

  Scenario: earlier failures of a bad job are retracted
    Given 20 endpoints under the 'ejecting' health policy
    When jobs 'a,b,bad' fail on endpoint 1
    Then endpoint 1 is ejected
    When jobs 'bad' fail on endpoint 2
    And jobs 'bad' fail on endpoint 3
    And jobs 'bad' fail on endpoint 4
    Then endpoint 1 is in use

  Scenario: failures on bad endpoints do not classify a job as bad
    Given 20 endpoints under the 'ejecting' health policy
    When jobs 'a,b,c' fail on endpoint 1
    And jobs 'd,e,f' fail on endpoint 2
    And jobs 'g,h,good' fail on endpoint 1
    And jobs 'good' fail on endpoint 2
    And jobs 'good' fail on endpoint 3
    And jobs 'x,y' fail on endpoint 3
    Then endpoint 3 is ejected

  Scenario: a job of many tasks that succeeds on other endpoints is not bad
    Given 20 endpoints under the 'ejecting' health policy
    When jobs 'wide' fail on endpoint 2
    And jobs 'wide' succeed on endpoint 5
    And jobs 'wide' succeed on endpoint 6
    And jobs 'wide' succeed on endpoint 7
    And jobs 'wide' fail on endpoint 3
    And jobs 'x,y' fail on endpoint 1
    And jobs 'wide' fail on endpoint 1
    Then endpoint 1 is ejected

  Scenario Outline: the penalizing policy doubles the penalty with each failure
    Given 20 endpoints under the 'penalizing' health policy
    When <failures> different jobs fail on endpoint 1
    And <before> seconds of penalty pass
    Then endpoint 1 is penalized
    When 1 seconds of penalty pass
    Then endpoint 1 is in use

    Examples:
      | failures | before |
      | 1        | 29     |
      | 2        | 59     |
      | 3        | 119    |
      | 4        | 239    |
      | 5        | 299    |
      | 9        | 299    |

  Scenario: the penalizing policy drops failures ten minutes after the last one
    Given 20 endpoints under the 'penalizing' health policy
    When 5 different jobs fail on endpoint 1
    And 600 seconds of penalty pass
    And jobs 'z' fail on endpoint 1
    And 30 seconds of penalty pass
    Then endpoint 1 is in use

  Scenario: the penalizing policy retracts failures of a bad job
    Given 20 endpoints under the 'penalizing' health policy
    When jobs 'bad' fail on endpoint 1
    And jobs 'bad' fail on endpoint 2
    Then endpoint 1 is penalized
    When jobs 'bad' fail on endpoint 3
    Then endpoint 1 is in use
    And endpoint 3 is in use

  Scenario: the baseline treats all endpoints alike
    Given 20 endpoints under the 'none' health policy
    When different jobs fail on endpoints 1 to 20
    Then 0 endpoints are ejected
    And 0 endpoints are penalized

  Scenario: the number of tracked jobs is limited
    When 30000 different jobs fail
    Then no more than 10000 of them are tracked
    When 600 seconds pass for the tracked jobs
    Then no more than 1 of them are tracked
