Feature: Frame decoding and liveness
  Guards against malformed input that crashes or hangs the process or exhausts its memory, and
  against liveness changes that are reported late or twice.

  Scenario: frames are decoded regardless of how the byte stream is split
    Then 500 random series of messages are decoded correctly from random chunks

  Scenario: random bytes cause only frame errors
    Then the frame decoder throws only frame errors for 3000 random inputs

  Scenario: a length above the limit is rejected before the payload arrives
    Then a frame decoder with a limit of 1000 bytes accepts 1000 bytes and rejects 1001 by length alone

  Scenario: an instance is suspect after the timeout without a frame
    Given a failure detector with a timeout of 2000 ms on a fake clock
    When a frame of peer b arrives
    And the clock of the failure detector advances by 1500 ms
    And a frame of peer b arrives
    And the clock of the failure detector advances by 1999 ms
    Then peer b is alive
    When the clock of the failure detector advances by 1 ms
    Then peer b is suspect
    And the liveness changes were "alive, suspect"
    When a frame of peer b arrives
    Then peer b is alive
    And the liveness changes were "alive, suspect, alive"

  Scenario: a paused process reads pending frames before it applies the idle timeout
    Given a framed connection with an idle timeout of 100 ms
    When a frame arrives while the event loop is blocked for 300 ms
    Then the framed connection is still open
    And the framed connection is reset within 400 ms

  Scenario: messages are written together at the end of the callback that sends them
    Given a framed connection to a socket that records writes
    When 5 messages are sent in one callback
    Then the socket had recorded 1 writes before the end of the iteration
    And the socket has recorded 5 frames in order
    When 2 messages are sent in one callback
    Then the socket had recorded 1 writes before the end of the iteration
    And the socket has recorded 7 frames in order
