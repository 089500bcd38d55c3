Feature: Log store under random changes and crashes
  Guards against unforeseen sequences of writes, overwrites, snapshots and crashes, against data that
  changes when it is stored and read back, and against damaged files that hang or crash the reader.

  Scenario: any sequence of changes and crashes preserves acknowledged changes
    Then 400 random log histories with crashes match the log model

  Scenario: any plain data survives a restart
    Then 300 random values are returned by the log store like by a JSON round trip

  Scenario: large numbers survive a restart
    Then the log store returns the numbers 4294967296, 9007199254740991, -4294967297 and 0.1 unchanged

  Scenario: random bytes are never parsed as a record
    Then the record parser rejects 3000 random inputs

  Scenario: a segment of random bytes is read in bounded time and memory
    Then a torn segment of 4 MiB of record markers and large lengths is read within 5 seconds

  Scenario: damaged files cause only storage errors or a truncated log
    Then 1500 random damages to the files of a log store cause only storage errors or a truncated log
