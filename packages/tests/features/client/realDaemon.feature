@processes
Feature: Client binary against real daemons
  Guards against a client and a gateway that disagree on paths, formats or refusals, which tests
  with a stub on either side cannot detect.

  Scenario: every command
    Given a cell of 4 daemons of which 3 have a disk
    And 2 stand-in runners
    And the file "second.toml" for the client binary:
      """
      number = 2
      comment = "verification team"
      [[added.teams]]
      name = "verification"
      share = 2
      """
    And the file "conflict.toml" for the client binary:
      """
      number = 2
      [[added.teams]]
      name = "other"
      share = 2
      """
    And the file "faulty.toml" for the client binary:
      """
      number = 3
      [[added.teams]]
      name = "laboratories"
      share = 2
      """
    And the file "job.toml" for the client binary:
      """
      kind = "batch"
      queue = "recomputation"
      work = "metering"
      tasks = 2
      size = { cpuMillis = 500, memoryMib = 256 }
      payload = { runMs = 100 }
      """
    And the file "failing.json" for the client binary:
      """
      {"kind":"batch","queue":"recomputation","work":"metering","size":{"cpuMillis":500},"payload":{"runMs":10,"fail":true}}
      """
    And the file "service.json" for the client binary:
      """
      {"kind":"service","queue":"indexing","work":"metering","size":{"cpuMillis":500}}
      """
    And the file "body.txt" for the client binary:
      """
      meter 4711
      """
    Then the client binary, run by the operator, gives:
      | arguments                       | code | output                                       |
      | status                          | 0    | note 1 accepted                              |
      | status                          | 0    | gateway+replica  alive  yes        1         |
      | status --json                   | 0    | "alive":true                                 |
      | endpoints                       | 0    | runner-1  runner  ready                      |
      | endpoints --json                | 0    | {"endpoints":[{"id":"runner-1"               |
      | teams                           | 0    | tasks=200                                    |
      | teams --json                    | 0    | {"teams":[{"name":"laboratories","share":3   |
      | queues                          | 0    | certificates   request  900                  |
      | queues --json                   | 0    | "waiting":0                                  |
      | diff second.toml                | 0    | verification                                 |
      | diff second.toml --json         | 0    | verification                                 |
      | check second.toml               | 0    | note 2 has no faults                         |
      | check second.toml --json        | 0    | {"number":2,                                 |
      | check faulty.toml               | 1    | faulty.toml:3: added.teams[0].name           |
      | apply second.toml --wait        | 0    | note 2 is in force on every live instance    |
      | apply second.toml --wait --json | 0    | "inForce":true                               |
      | apply conflict.toml             | 5    | was accepted with other content              |
      | check conflict.toml --json      | 5    | "type":"conflict"                            |
      | audit                           | 0    | accepted                                     |
      | audit --json                    | 0    | {"entries":[{"number":1                      |
      | audit --verify                  | 0    | 3 audit entries are intact                   |
      | audit --verify --json           | 0    | {"intact":true                               |
      | jobs none                       | 1    | there is no job none [not-found, not-run]    |
      | drain none                      | 1    | there is no instance none                    |
      | key create --role operator      | 0    | [[added.keys]]                               |
      | key hash --json                 | 0    | {"hash":"                                    |
    And the client binary, run by the utilities, gives:
      | arguments                                                                | code | output                                |
      | status                                                                   | 1    | [forbidden, not-run]                  |
      | request --queue certificates --work metering --body body.txt             | 0    | meter 4711                            |
      | request --queue certificates --work metering --body body.txt --json      | 0    | "status":200                          |
      | request --queue none --work metering --body body.txt                     | 1    | not-run                               |
      | request --queue certificates --work metering --body body.txt --idempotency-key r-1 | 0 | meter 4711                       |
      | request --queue certificates --work metering --body body.txt --idempotency-key r-1 | 5 | was submitted before             |
      | submit job.toml --idempotency-key j-1 --json                             | 0    | "duplicate":false                     |
      | submit job.toml --idempotency-key j-1                                    | 0    | is accepted                           |
      | submit job.toml --wait                                                   | 0    | succeeded                             |
      | submit job.toml --wait --json                                            | 0    | "state":"succeeded"                   |
      | submit failing.json --wait                                               | 7    | ended as failed                       |
      | submit service.json                                                      | 0    | is accepted                           |
      | wait {job} --timeout 1                                                   | 6    | at the end of the timeout             |
      | jobs {job}                                                               | 0    | of utilities in indexing: running     |
      | jobs {job} --json                                                        | 0    | "kind":"service"                      |
      | cancel {job} none                                                        | 1    | none: not found                       |
      | wait {job}                                                               | 7    | ended as cancelled                    |
      | cancel {job} --json                                                      | 0    | "state":"cancelled"                   |
    And the client binary, run by the operator, gives:
      | arguments                | code | output                              |
      | evacuate dc-1            | 0    | data centre dc-1 is evacuated       |
      | evacuate dc-1 --json     | 0    | "isEvacuated":true                  |
      | evacuations              | 0    | dc-1                                |
      | evacuations --json       | 0    | {"evacuations":[{"dataCentre":"dc-1" |
      | endpoints                | 0    | ready, evacuated                    |
      | audit                    | 0    | evacuation of dc-1 begins           |
      | audit --verify           | 0    | audit entries are intact            |
      | evacuate dc-1 --end      | 0    | dc-1 is no longer evacuated         |
      | evacuate dc-1 --end      | 0    | dc-1 is no longer evacuated         |
      | evacuations --json       | 0    | {"evacuations":[]}                  |
    And the client binary, run by the utilities, gives:
      | arguments                                                    | code | output                  |
      | evacuate dc-1                                                | 1    | [forbidden, not-run]    |
      | request --queue certificates --work metering --body body.txt | 0    | meter 4711              |
    And the client binary, run by the operator, gives:
      | arguments                            | code | output                                      |
      | replace instance-4                   | 1    | is configured without a replica             |
      | replace instance-4 --remove          | 1    | has no replica                              |
      | replace {follower}                   | 0    | its replica is a voter                      |
      | replace {follower} --json            | 0    | "state":"voter"                             |
      | replace {follower} --remove          | 1    | is alive; stop it before its removal        |
      | drain {follower}                     | 0    | is draining                                 |
    When the process of the follower has ended
    Then the client binary, run by the operator, gives:
      | arguments                            | code | output                                      |
      | status                               | 0    | absent                                      |
      | replace {follower}                   | 0    | cannot be reached                           |
      | replace {follower} --remove          | 0    | removed {follower}/                         |
      | replace {follower} --remove --json   | 0    | "removed":[]                                |
      | replace {follower}                   | 0    | joins by itself when the instance runs      |
      | replace {leader} --remove            | 1    | is alive                                    |
    When the follower is started with an empty disk
    Then the replica of the follower becomes a voter again
