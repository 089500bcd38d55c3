Feature: Errors that reach no handler
  Guards against a process that ends because of one failed operation, and against one that
  continues with a change half done.

  Background:
    Given a process that handles stray errors

  Scenario: a rejection that nothing awaits does not end the process
    When 100 promises are rejected without a handler
    Then the process has logged 1 error and has not ended

  Scenario: an exception that nothing catches ends the process after its accepted work
    When an exception is not caught
    Then the process stops and has not ended
    When the process has stopped
    Then the process has ended with code 1

  Scenario: a process that does not stop in time after an exception ends
    When an exception is not caught
    And 6000 ms pass while it stops
    Then the process has ended with code 1

  Scenario: another exception while the process stops ends it
    When an exception is not caught
    And an exception is not caught
    Then the process has ended with code 1

  Scenario: a process ends once it has stopped after a signal
    When the process gets the signal to stop
    And the process gets the signal to stop
    Then the process stops and has not ended
    When the process has stopped
    Then the process has ended with code 0

  # Guards against a planned stop that ends with a kill, as connections to unresponsive peers stay open.
  Scenario: a process that does not stop in time after a signal ends before it is killed
    When the process gets the signal to stop
    And 5500 ms pass while it stops
    Then the process has ended with code 0
