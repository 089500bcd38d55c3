Feature: Log store under random changes and crashes
  Guards against orders of writes, overwrites, snapshots and crashes that nobody thought of, against
  data that changes on its way through the disk, and against damaged bytes that hang or crash the
  reader.

  Scenario: any series of changes with crashes keeps what was acknowledged
    Then 400 random log histories with crashes match the log model

  Scenario: any plain data survives a restart
    Then 300 random values come back from the log store as JSON would return them

  Scenario: large numbers survive a restart
    Then the log store returns the numbers 4294967296, 9007199254740991, -4294967297 and 0.1 unchanged

  Scenario: random bytes are never taken for a record
    Then the record parser survives 3000 random inputs

  Scenario: a segment of random bytes is read in bounded time and memory
    Then a torn segment of 4 MiB of record markers and large lengths is read within 5 seconds

  Scenario: damaged files raise nothing but storage errors
    Then 1500 random damages to the files of a log store raise only storage errors or cut the tail
