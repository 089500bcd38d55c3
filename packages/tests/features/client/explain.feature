@stub-gateway
Feature: Timeline of a job
  Guards against a timeline that omits the line that explains a late or lost job. The log lines were
  recorded on a simulated day.

  Background:
    Given a stub gateway
    And the client file "gateway.log":
      """
         4.5913 front-attica-c-2 {"instance":"front-attica-c-2","operation":"submit","path":"/wufi330/056bbc6b1367df37","answer":"accepted","tookMs":25,"time":"2026-07-14T22:03:50.585Z","level":"info","message":"call answered"}
         4.5920 front-attica-c-2 {"instance":"front-attica-c-2","operation":"submit","path":"/wufi330/ffffffffffffffff","answer":"accepted","tookMs":25,"time":"2026-07-14T22:03:50.586Z","level":"info","message":"call answered"}
      a torn li
      """
    And the client file "replica.log":
      """
      {"instance":"core-attica-b-1","job":"056bbc6b1367df37","queue":"q","organisation":"depu802","time":"2026-07-14T22:03:50.584Z","level":"info","message":"job accepted"}
      {"instance":"core-attica-b-1","step":"056bbc6b1367df37.0.0","runs":"8:1 on i-d64727bec5,9:1 on i-c8bdde68ca","waitedMs":66,"oldestHeartbeatMs":1652,"configVersion":5,"term":3,"time":"2026-07-14T22:03:50.630Z","level":"info","message":"runs ordered"}
      {"instance":"core-attica-b-1","endpoint":"i-d64727bec5","failure":"unreachable","runs":6,"time":"2026-07-14T22:03:50.800Z","level":"warn","message":"endpoint does not answer"}
      {"instance":"core-attica-b-1","endpoint":"i-0000000000","failure":"unreachable","runs":6,"time":"2026-07-14T22:03:50.801Z","level":"warn","message":"endpoint does not answer"}
      {"instance":"core-attica-b-1","endpoint":"i-d64727bec5","reason":"the order never arrived","runs":["056bbc6b1367df37.0.0.8:1"],"time":"2026-07-14T22:03:50.845Z","level":"warn","message":"runs are lost"}
      {"instance":"core-attica-b-1","endpoint":"i-c8bdde68ca","runs":"056bbc6b1367df37.0.0.9:1 done,ffffffffffffffff.0.0.1:1 done","time":"2026-07-14T22:03:50.972Z","level":"info","message":"runs ended"}
      {"instance":"core-attica-a-1","role":"leader","term":4,"time":"2026-07-14T22:03:51.200Z","level":"info","message":"replica role"}
      {"instance":"core-attica-b-1","job":"056bbc6b1367df37","status":"completed","time":"2026-07-14T22:03:52.971Z","level":"info","message":"job ended"}
      {"instance":"core-attica-a-1","role":"follower","term":5,"time":"2026-07-14T22:03:59.000Z","level":"info","message":"replica role"}
      """

  Scenario: the lines of several instances are merged
    When the client runs "explain 056bbc6b1367df37 gateway.log replica.log"
    Then the client exits with 0
    And the client prints 'core-attica-b-1 job accepted'
    And the client prints 'front-attica-c-2 call answered  operation=submit'
    And the client prints 'runs=8:1 on i-d64727bec5,9:1 on i-c8bdde68ca'
    And the client prints 'warn: runs are lost'
    And the client prints 'endpoint=i-c8bdde68ca  runs=056bbc6b1367df37.0.0.9:1 done'
    And the client prints 'longest wait: 1999 ms before "job ended"'
    And the client reports '1 lines could not be parsed'

  Scenario: related events are included, and nothing else
    When the client runs "explain 056bbc6b1367df37 gateway.log replica.log"
    Then the client prints 'warn: endpoint does not answer  endpoint=i-d64727bec5'
    And the client prints 'core-attica-a-1 replica role  role=leader'
    And the client does not print 'i-0000000000'
    And the client does not print 'ffffffffffffffff'
    And the client does not print 'role=follower'

  # Guards against a refusal without its cause, as only the gateway's last line names the request.
  Scenario: a refused request is shown with what happened while it was held
    Given the client file "refused.log":
      """
      {"instance":"core-a-2","phase":"applied","sinceElectionMs":12,"time":"2026-01-20T04:00:49.100Z","level":"notice","message":"take-over phase reached"}
      {"instance":"front-c-3","reason":"leader-not-valid","target":"10.1.0.39:7700","method":"jobs.call","time":"2026-01-20T04:00:51.061Z","level":"notice","message":"no valid leader"}
      {"instance":"core-a-2","blockedMs":160,"time":"2026-01-20T04:00:51.057Z","level":"warn","message":"event loop was blocked"}
      {"instance":"front-c-3","operation":"submit","path":"/q/902b3408e0bd1b1d","answer":"unavailable","reason":"leader-not-valid","tookMs":900,"time":"2026-01-20T04:00:51.310Z","level":"info","message":"call answered"}
      """
    When the client runs "explain 902b3408e0bd1b1d refused.log"
    Then the client exits with 0
    And the client prints 'front-c-3 no valid leader  reason=leader-not-valid'
    And the client prints 'core-a-2 warn: event loop was blocked  blockedMs=160'
    And the client prints 'reason=leader-not-valid  tookMs=900'
    And the client does not print 'take-over phase reached'

  Scenario: the timeline is printed as one JSON document
    When the client runs "explain 056bbc6b1367df37 replica.log --json"
    Then the client exits with 0
    And the client prints one JSON document

  Scenario Outline: "<line>" is rejected or finds nothing
    When the client runs "<line>"
    Then the client exits with <code>
    And the client reports '<message>'

    Examples:
      | line                             | code | message                              |
      | explain 1234567812345678 replica.log | 1 | no log line names                    |
      | explain 05 replica.log           | 2    | an id of at least 4 characters       |
      | explain                          | 2    | expected: lagoongap explain <id>     |
      | explain 056b missing.log         | 2    | cannot read missing.log              |
