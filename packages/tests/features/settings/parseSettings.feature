Feature: Daemon settings
  Guards against contradictory settings, with which a daemon can lose its validity at random or act
  on an expired one, and against reports of one fault at a time, which cost many restarts.

  Background:
    Given the settings text:
      """
      bootstrapOperatorKeyHashes = []
      [instance]
      id = "i-1"
      dataCentre = "dc-1"
      roles = ["gateway", "replica"]
      [http]
      host = "127.0.0.1"
      [peering]
      port = 7081
      [[peering.peers]]
      id = "i-1"
      host = "127.0.0.1"
      port = 7081
      dataCentre = "dc-1"
      roles = ["gateway", "replica"]
      [storage]
      dataFolder = "data"
      [timing]
      [scheduling]
      [routing]
      [log]
      """

  Scenario: defaults
    When the settings text is parsed
    Then the setting "timing.drainDelayMs" is 3000
    And the setting "timing.drainTimeoutMs" is 30000
    And the setting "timing.leaderValidityMs" is 500
    And the setting "http.maxBodyBytes" is 67108864
    And the setting "storage.snapshotEntries" is 20000
    And the setting "routing.retryBudget" is 0.2
    And the setting "routing.maxAttempts" is 3
    And the setting "routing.ejectionFailures" is 5
    And the setting "routing.ejectionBaseMs" is 5000
    And the setting "routing.ejectionMaxMs" is 300000
    And the setting "routing.maxEjectedShare" is 0.3
    And the setting "scheduling.usageHalfLifeMs" is 600000
    And the setting "scheduling.packingWeight" is 0.5
    And the setting "scheduling.maxBatch" is 512
    And the setting "scheduling.preemption" is true
    And the setting "scheduling.policy" is "fair-share"
    And the data folder is resolved against the folder of the settings file

  Scenario Outline: <new> is rejected with "<message>"
    When line <line> of the settings text becomes "<new>"
    And the settings text is parsed
    Then the settings have one fault at line <at> for "<key>" that says "<message>"

    Examples:
      | line | new                                            | at | key                       | message                            |
      | 18   | [timing]\nheartbeatMs = 201                    | 19 | timing.heartbeatMs        | at most a third of electionMinMs   |
      | 18   | [timing]\ngatewayPollMs = 700                  | 19 | timing.gatewayPollMs      | a third of gatewayValidityMs       |
      | 18   | [timing]\nendpointHeartbeatMs = 2001           | 19 | timing.endpointHeartbeatMs | a third of endpointLeaseMs        |
      | 18   | [timing]\nleaderValidityMs = 600               | 19 | timing.leaderValidityMs   | below electionMinMs (600)          |
      | 18   | [timing]\nleaderValidityMs = 595               | 19 | timing.leaderValidityMs   | below electionMinMs (600)          |
      | 18   | [timing]\nelectionMaxMs = 600                  | 19 | timing.electionMaxMs      | more than electionMinMs            |
      | 18   | [timing]\ndrainDelayMs = -1                    | 19 | timing.drainDelayMs       | milliseconds from 0                |
      | 18   | [timing]\nheartbeatMs = nan                    | 19 | timing.heartbeatMs        | finite number                      |
      | 18   | [timing]\nheartbeatMs = "100"                  | 19 | timing.heartbeatMs        | expected a finite number, found "100" |
      | 18   | [timing]\nheartbeat = 100                      | 19 | timing.heartbeat          | did you mean "heartbeatMs"         |
      | 18   | [timings]                                      | 18 | timings                   | did you mean "timing"              |
      | 19   | [scheduling]\npolicy = "fairshare"             | 20 | scheduling.policy         | did you mean "fair-share"          |
      | 19   | [scheduling]\npackingWeight = 1.1              | 20 | scheduling.packingWeight  | from 0 to 1                        |
      | 20   | [routing]\nejectionMaxMs = 1                   | 21 | routing.ejectionMaxMs     | at least ejectionBaseMs            |
      | 20   | [routing]\nmaxAttempts = 0                     | 21 | routing.maxAttempts       | above 0                            |
      | 5    | roles = ["gateway", "voter"]                   | 5  | instance.roles[1]         | expected "gateway" or "replica"    |
      | 3    | id = "i-2"                                     | 10 | peering.peers             | expected an entry for this instance |
      | 4    | dataCentre = "dc-2"                            | 14 | peering.peers[0].dataCentre | expected instance.dataCentre dc-2 |
      | 9    | port = 7082                                    | 13 | peering.peers[0].port     | expected peering.port 7082         |
      | 21   | [logs]  | 21 | logs | did you mean "log" |
      | 7    | host = "localhost"                             | 7  | http.host                 | expected an IP address             |
      | 7    | host = "0.0.0.0"                               | 7  | http.host                 | not a loopback address             |
      | 7    | tls = { certFile = "missing.crt", keyFile = "../package.json" } | 7 | http.tls.certFile | readable file               |
      | 7    | tls = { certFile = 1, keyFile = "../package.json" }  | 7  | http.tls.certFile         | expected a text, found 1           |
      | 7    | port = 65536                                   | 7  | http.port                 | from 0 to 65535                    |
      | 7 | port = 7081 | 7 | http.port | a port other than peering.port, found 7081 |
      | 17 | dataFolder = "../package.json" | 17 | storage.dataFolder | expected a folder |
      | 1    | bootstrapOperatorKeyHashes = ["lgk_secret"]    | 1  | bootstrapOperatorKeyHashes[0] | 64 lower-case hexadecimal      |
      | 1    | bootstrapOperatorKeyHashes = [                 | 2  |                           | not valid TOML                     |

  Scenario Outline: a faulty second peer: <new>
    When line 16 of the settings text becomes "<new>\n[storage]"
    And the settings text is parsed
    Then the settings have one fault at line <at> for "<key>" that says "<message>"

    Examples:
      | new                                                                                                                     | at | key                    | message           |
      | [[peering.peers]]\nid = "i-1"\nhost = "::1"\nport = 7081\ndataCentre = "dc-1"\nroles = ["gateway"]                        | 17 | peering.peers[1].id    | each id once      |
      | [[peering.peers]]\nid = "i-2"\nhost = "127.0.0.1"\nport = 7081\ndataCentre = "dc-1"\nroles = ["gateway"]                  | 19 | peering.peers[1].port  | each address once |
      | [[peering.peers]]\nid = "i-2"\nhost = "a.example"\nport = 7081\ndataCentre = "dc-1"\nroles = ["gateway"]                  | 18 | peering.peers[1].host  | an IP address     |

  Scenario: allowPlaintext permits a listener on a non-loopback address
    When line 7 of the settings text becomes "host = '0.0.0.0'\nallowPlaintext = true"
    And the settings text is parsed
    Then the settings have no fault

  Scenario: a replica without storage is rejected
    When line 17 of the settings text becomes ""
    And line 16 of the settings text becomes ""
    And the settings text is parsed
    Then the settings have one fault at line 5 for "instance.roles" that says "needs [storage]"

  Scenario: a cell without a replica is rejected
    When line 17 of the settings text becomes ""
    And line 16 of the settings text becomes ""
    And line 15 of the settings text becomes "roles = ['gateway']"
    And line 5 of the settings text becomes "roles = ['gateway']"
    And the settings text is parsed
    Then the settings have one fault at line 10 for "peering.peers" that says "at least one peer"

  Scenario: all faults are reported at once
    When line 18 of the settings text becomes "[timing]\nheartbeatMs = 500\ngatewayPolMs = 1"
    And line 7 of the settings text becomes "host = 'localhost'"
    And line 3 of the settings text becomes "id = 7"
    And the settings text is parsed
    Then the settings have faults at lines "3,7,19,19,20"
    And the settings error contains the file, line and key of each fault

  Scenario: an unreadable file is reported
    When the settings file "no/such/file.toml" is loaded
    Then the settings have one fault at line 0 for "" that says "cannot be read"

  Scenario: any text yields settings or a settings error
    Then 500 random texts are parsed to settings or to a settings error

  Scenario: rendered settings parse to equal settings
    Then 100 random cells are rendered and parsed without loss
