@stub-gateway
Feature: Command-line client
  A client that retries work blindly runs it twice, and one that reports a lost response as a
  refusal makes its user run it twice. Scripts rely on the exit code alone.

  Background:
    Given a stub gateway

  Scenario Outline: "<line>" is a usage error
    When the client runs "<line>"
    Then the client exits with 2
    And the client reports '<message>'
    And the stub gateway has received 0 calls of "GET /v1/status"

    Examples:
      | line                                      | message                              |
      | statsu                                    | did you mean "status"?               |
      | status --jsno                             | did you mean "--json"?               |
      | apply                                     | expected: lagoongap apply <note>     |
      | status x                                  | expected: lagoongap status           |
      | status --timeout 0                        | expected --timeout <seconds> above 0 |
      | status --gateway                          | needs a value                        |
      | status --gateway ftp://h                  | expected --gateway                   |
      | status --key-file /no/such/file           | cannot read --key-file               |
      | submit /no/such/job.toml                  | cannot read /no/such/job.toml        |
      | request                                   | expected --queue <name>              |
      | key creat                                 | did you mean "create"?               |
      | key create                                | needs --team <name>                  |
      | evacuate                                  | expected: lagoongap evacuate <name>  |

  Scenario: the next gateway is tried
    Given a closed gateway before the stub gateway
    And the stub gateway reports notes "1" in force on its instances
    When the client runs "status"
    Then the client exits with 0
    And the client prints 'leader i-0, term 3, note 1 accepted'

  Scenario: no gateway can be reached
    Given only a closed gateway
    When the client runs "status --json"
    Then the client exits with 3
    And the client reports a JSON error with exit code 3

  Scenario Outline: "<line>" prints JSON with --json
    Given the stub gateway has the configuration of the example note
    And the stub gateway reports notes "1,1" in force on its instances
    And the stub gateway responds to "GET /v1/endpoints" with 200 []
    And the stub gateway has an audit trail of 2 entries of which 0 is edited
    When the client runs "<line> --json"
    Then the client exits with 0
    And the client prints one JSON document

    Examples:
      | line           |
      | status         |
      | endpoints      |
      | teams          |
      | queues         |
      | audit          |
      | audit --verify |
      | key create --role operator |

  Scenario: a note is applied and in force everywhere
    Given the stub gateway responds to "POST /v1/notes" with 200 {"number":1,"contentHash":"x"}
    And the stub gateway reports notes "0,0; 1,0; 1,1" in force on its instances
    When the client runs "apply examples/first-note.toml --wait"
    Then the client exits with 0
    And the client prints 'note 1 is in force on every live instance'
    And the stub gateway has received 3 calls of "GET /v1/status"

  Scenario: a note does not come into force in time
    Given the stub gateway responds to "POST /v1/notes" with 200 {"number":1,"contentHash":"x"}
    And the stub gateway reports notes "1,0" in force on its instances
    When the client runs "apply examples/first-note.toml --wait --timeout 0.5"
    Then the client exits with 6
    And the client reports 'not yet in force on i-1'

  Scenario: a note whose response is lost is resent
    Given the stub gateway first drops "POST /v1/notes" and then responds with {"number":1}
    When the client runs "apply examples/first-note.toml"
    Then the client exits with 0
    And the stub gateway has received 2 calls of "POST /v1/notes"

  Scenario: a note that never gets a valid response may have been accepted
    Given the stub gateway first drops "POST /v1/notes" and then responds with not JSON
    When the client runs "apply examples/first-note.toml"
    Then the client exits with 4

  Scenario: a note whose number is taken by another note conflicts
    Given the stub gateway refuses "POST /v1/notes" as "conflict" with run state "not-run"
    When the client runs "apply examples/first-note.toml"
    Then the client exits with 5

  Scenario: faults of a note are listed without calling a gateway
    Given the client file "bad.toml":
      """
      number = 1
      [[added.teams]]
      name = "a"
      share = -1
      """
    When the client runs "apply bad.toml"
    Then the client exits with 1
    And the client reports 'bad.toml:4: added.teams[0].share: must be a finite number above 0'
    And the stub gateway has received 0 calls of "POST /v1/notes"

  Scenario: faults that the gateway finds are listed with their lines
    Given the stub gateway finds a fault at line 11 of "POST /v1/notes?check=true"
    When the client runs "check examples/first-note.toml"
    Then the client exits with 1
    And the client reports 'examples/first-note.toml:11: added.teams[0].name: exists already'

  Scenario: the diff of a note is shown
    Given the stub gateway has the configuration of the example note
    And the client file "second.toml":
      """
      number = 2
      withdrawn.queues = [{ name = "verification" }]
      """
    When the client runs "diff second.toml"
    Then the client exits with 0
    And the client prints '- queue verification'

  Scenario: a submission without an idempotency key gets one and is resent with it
    Given the client file "job.toml":
      """
      kind = "batch"
      queue = "recomputation"
      """
    And the stub gateway first cuts "POST /v1/jobs" and then responds with {"id":"j-1","state":"waiting"}
    When the client runs "submit job.toml"
    Then the client exits with 0
    And the client prints 'job j-1 is accepted'
    And the client reports 'resubmit with --idempotency-key'
    And the stub gateway has received the body '{"kind":"batch","queue":"recomputation"}'
    And the stub gateway has received 2 calls of "POST /v1/jobs"
    And all calls have carried the same idempotency key

  Scenario: a given idempotency key is sent unchanged
    Given the client file "job.json":
      """
      {}
      """
    And the stub gateway responds to "POST /v1/jobs" with 200 {"id":"j-1"}
    When the client runs "submit job.json --idempotency-key 0012"
    Then the stub gateway has received the header "idempotency-key" as "0012"

  Scenario Outline: a job that ends as <state>
    Given the stub gateway first refuses "GET /v1/jobs/j-1?waitMs=N" and then responds with {"id":"j-1","state":"<state>"}
    When the client runs "wait j-1"
    Then the client exits with <code>

    Examples:
      | state      | code |
      | succeeded  | 0    |
      | failed     | 7    |
      | impossible | 7    |
      | cancelled  | 7    |
      | unknown    | 4    |

  Scenario: a job that does not end in time
    Given the stub gateway responds to "GET /v1/jobs/j-1?waitMs=N" with 200 {"id":"j-1","state":"running"}
    When the client runs "wait j-1 --timeout 0.4"
    Then the client exits with 6

  Scenario: a request is relayed with its key
    Given the client environment LAGOONGAP_KEY=lgk_secret
    And "preview" on standard input of the client
    And the stub gateway responds to "POST /v1/requests" with 200 done
    When the client runs "request --queue previews --no-repeat --deadline 900"
    Then the client exits with 0
    And the client prints 'done'
    And the stub gateway has received the body 'preview'
    And the stub gateway has received the header "authorization" as "Bearer lgk_secret"
    And the stub gateway has received the header "lagoongap-no-repeat" as "true"
    And the stub gateway has received the header "lagoongap-deadline-ms" as "900"

  Scenario Outline: a request whose response is lost is not resent
    Given the stub gateway first <fault> "POST /v1/requests" and then responds with done
    When the client runs "request --queue previews"
    Then the client exits with 4
    And the stub gateway has received 1 calls of "POST /v1/requests"

    Examples:
      | fault |
      | drops |
      | cuts  |

  Scenario: a request that certainly was not run is resent
    Given the stub gateway first refuses "POST /v1/requests" and then responds with done
    When the client runs "request --queue previews"
    Then the client exits with 0
    And the stub gateway has received 2 calls of "POST /v1/requests"

  Scenario Outline: a refusal of type <type> with run state <runState>
    Given the stub gateway refuses "POST /v1/requests" as "<type>" with run state "<runState>"
    When the client runs "request --queue previews"
    Then the client exits with <code>

    Examples:
      | type            | runState | code |
      | unauthenticated | not-run  | 1    |
      | queue-full      | not-run  | 1    |
      | duplicate       | not-run  | 5    |
      | answer-lost     | unknown  | 4    |

  Scenario: a removal of a replica whose response is lost is resent, because it is idempotent
    Given the stub gateway first drops "POST /v1/replicas/i-1/remove" and then responds with {"instance":"i-1","removed":[],"voters":["i-0/a"],"learners":[]}
    When the client runs "replace i-1 --remove"
    Then the client exits with 0
    And the client prints 'nothing is left to remove'
    And the stub gateway has received 2 calls of "POST /v1/replicas/i-1/remove"

  Scenario: replace without --remove changes nothing
    Given the stub gateway reports notes "1,1" in force on its instances
    When the client runs "replace i-1"
    Then the client exits with 0
    And the client prints 'its replica is a voter'
    And the stub gateway has received 0 calls of "POST /v1/replicas/i-1/remove"

  Scenario: jobs that cannot be cancelled are listed
    Given the stub gateway responds to "POST /v1/jobs/cancel" with 200 {"jobs":[{"id":"a","state":"cancelled"},{"id":"b","state":"succeeded"},{"id":"c","state":"not-recorded"}]}
    When the client runs "cancel a b c"
    Then the client exits with 1
    And the client prints '1 of 3 jobs are cancelled'
    And the client prints 'b: has ended as succeeded'
    And the client prints 'c: not found, and too many unknown jobs are cancelled; try again later'

  Scenario: an instance is drained
    Given the stub gateway responds to "POST /v1/instances/i-1/drain" with 200 {}
    When the client runs "drain i-1"
    Then the client exits with 0

  Scenario: an edited audit trail is detected
    Given the stub gateway has an audit trail of 5 entries of which 3 is edited
    When the client runs "audit --verify"
    Then the client exits with 8
    And the client reports 'audit entry 3'

  Scenario: the hash of a key is printed without its secret
    Given "lgk_secret" on standard input of the client
    When the client runs "key hash"
    Then the client exits with 0
    And the client prints nothing of "lgk_secret"

  Scenario: help and documentation
    Then the binary lists every command and exit code in its help
    And "docs/client.md" lists every command, option and exit code
