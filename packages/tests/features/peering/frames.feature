Feature: Frames and liveness
  Guards against received bytes that crash, hang or fill the process, and against liveness that is
  reported late or twice.

  Scenario: frames survive any split of the byte stream
    Then 500 random series of messages pass through the frame decoder in random chunks

  Scenario: random bytes raise only frame errors
    Then the frame decoder survives 3000 random inputs

  Scenario: a length beyond the limit is refused before its bytes arrive
    Then a frame decoder with a limit of 1000 bytes accepts 1000 bytes and refuses 1001 at once

  Scenario: an instance is suspect after the bound without a frame
    Given a failure detector with a bound of 2000 ms on a paused clock
    When a frame of peer b arrives
    And the clock of the failure detector advances by 1500 ms
    And a frame of peer b arrives
    And the clock of the failure detector advances by 1999 ms
    Then peer b is alive
    When the clock of the failure detector advances by 1 ms
    Then peer b is suspect
    And the changes of liveness were "alive, suspect"
    When a frame of peer b arrives
    Then peer b is alive
    And the changes of liveness were "alive, suspect, alive"

  Scenario: a paused process reads what has arrived before it judges a connection
    Given a framed connection that is reset after 100 ms without a frame
    When a frame arrives while the process is blocked for 300 ms
    Then the framed connection is still open
    And the framed connection is reset within 400 ms
