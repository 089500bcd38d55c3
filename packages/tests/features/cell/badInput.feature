@processes
Feature: Bad input to real processes
  Guards against input that is partly applied, that is refused without location and reason,
  or whose connection hangs or is reset.

  Scenario: each invalid call gets one clear error and changes nothing
    Given a cell of 1 daemons of which 1 have a disk
    When the invalid calls are sent
      | method | path                       | key      | body                                     | status | message               |
      | POST   | /v1/notes                  | operator | number = 2\n[[added.teems]]              | 400    | line 2                |
      | POST   | /v1/notes                  | operator | number = "two"                           | 400    | line 1: number        |
      | POST   | /v1/notes                  | operator | number = 2\n[[added.teams]]\nname = "a"\nshare = -1 | 400 | share           |
      | POST   | /v1/notes                  | operator | number = = 2                             | 400    | line 1                |
      | POST   | /v1/notes                  | operator | <5 MiB>                                  | 413    | at most 4194304       |
      | POST   | /v1/notes                  | operator | <20 MiB in chunks>                                 | 413    | more than 4194304       |
      | POST   | /v1/notes                  | unknown  | number = 2                               | 401    | key is unknown        |
      | POST   | /v1/notes                  | none     | number = 2                               | 401    | requires a key        |
      | POST   | /v1/notes                  | caller   | number = 2                               | 403    | role operator         |
      | POST   | /v1/jobs                   | caller   | {"kind":                                 | 400    | not JSON              |
      | POST   | /v1/jobs                   | caller   | {"kind":"batch","queue":5,"work":"metering","size":{"cpuMillis":1}} | 400 | queue: |
      | POST   | /v1/jobs                   | caller   | {"kind":"batch","queue":"recomputation","work":"metering","size":{"cpuMillis":1},"taskz":2} | 400 | taskz |
      | POST   | /v1/jobs                   | caller   | {"kind":"batch","queue":"nowhere","work":"metering","size":{"cpuMillis":1}} | 404 | nowhere |
      | POST   | /v1/jobs                   | unknown  | {}                                       | 401    | key is unknown        |
      | POST   | /v1/jobs                   | caller   | <5 MiB>                                  | 413    | at most 4194304       |
      | POST   | /v1/jobs                   | caller   | <20 MiB in chunks>                                 | 413    | more than 4194304       |
      | POST   | /v1/requests               | caller   | hello                                    | 400    | lagoongap-queue       |
      | POST   | /v1/endpoints              | endpoint | <endpoint with cpuMillis -1>             | 400    | size.cpuMillis        |
      | POST   | /v1/endpoints              | endpoint | <endpoint with cpuMillis NaN>            | 400    | not JSON              |
      | POST   | /v1/endpoints              | endpoint | <endpoint with cpuMillis "NaN">          | 400    | size.cpuMillis        |
      | POST   | /v1/endpoints              | endpoint | <endpoint with cpuMillis 1e999>          | 400    | size.cpuMillis        |
      | GET    | /v1/nothing                | caller   |                                          | 404    | /v1/nothing           |
      | PUT    | /v1/jobs                   | caller   | {}                                       | 405    | PUT is not allowed    |
      | GET    | /v1/jobs/none?waitMs=soon  | caller   |                                          | 400    | waitMs                |
      | GET    | /v1/notes/one              | operator |                                          | 400    | number                |
    Then each response is one error with its status, location and reason
    And configuration, endpoints and queues are unchanged

  Scenario Outline: invalid settings stop the daemon with the location and reason of the error
    When a daemon checks the settings <line>
    Then it exits with an error that names "<location>"

    Examples:
      | line                              | location         |
      | [instance]\nidd = "a"             | instance.idd     |
      | [http]\nport = "many"             | http.port        |
      | [timing]\nheartbeatMs = -5        | timing.heartbeatMs |
      | [surprise]\nx = 1                 | surprise         |
