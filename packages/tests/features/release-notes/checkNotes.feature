Feature: Checks of release notes
  A faulty note that is accepted reverts or stops work in the whole cluster, and a fault reported
  without its line costs the operator time. Each example below must be refused with line and path.

  Background:
    Given the configuration of the example release note

  Scenario: the example note is valid against an empty configuration
    Then the example note has no faults

  Scenario Outline: <path> - <message>
    When this release note is checked:
      """
      number = 2
      <toml>
      """
    Then the note has one fault at line <line> for "<path>" that says "<message>"

    Examples: entries
      | toml                                                                  | line | path                           | message                    |
      | [[added.teams]]\nname = "a"\nshare = 0                                | 4    | added.teams[0].share           | finite number above 0      |
      | [[added.teams]]\nname = "a"\nshare = -1.5                             | 4    | added.teams[0].share           | finite number above 0      |
      | [[added.teams]]\nname = "a"\nshare = nan                              | 4    | added.teams[0].share           | finite number              |
      | [[added.teams]]\nname = "a"\nshare = inf                              | 4    | added.teams[0].share           | finite number              |
      | [[added.teams]]\nshare = 1\nname = "a"\nlimit.tasks = -1              | 5    | added.teams[0].limit.tasks     | at least 0                 |
      | [[added.teams]]\nname = "a"\nshare = 1\nlimit = { slots = 0.5 }       | 5    | added.teams[0].limit.slots     | whole number               |
      | [[added.teams]]\nname = "__proto__"\nshare = 1                        | 3    | added.teams[0].name            | 1 to 63 characters         |
      | [[added.teams]]\nname = "constructor"\nshare = 1                      | 3    | added.teams[0].name            | reserved                   |
      | [[added.teams]]\nname = "a/b"\nshare = 1                              | 3    | added.teams[0].name            | 1 to 63 characters         |
      | [[added.teams]]\nname = "a"\nshare = 1\n[[added.teams]]\nname = "a"\nshare = 2 | 6 | added.teams[1].name        | more than once             |
      | [[added.teams]]\nname = "a"\nshares = 1\nshare = 1                    | 4    | added.teams[0].shares          | did you mean "share"       |
      | [[added.teams]]\nname = "a"                                           | 2    | added.teams[0].share           | missing                    |
      | [[aded.teams]]\nname = "a"                                            | 2    | aded                           | did you mean "added"       |
      | [__proto__]\nx = 1                                                    | 2    | __proto__                      | unknown key                |
      | [[added.keys]]\nid = "k"\nrole = "operator"\nhash = "abc"             | 5    | added.keys[0].hash             | 64 lower-case hexadecimal  |
      | [[added.keys]]\nid = "k"\nrole = "operator"\nhash = "lgk_abc"         | 5    | added.keys[0].hash             | this is a secret           |
      | [[added.keys]]\nid = "k"\nrole = "caller"\nhash = "1111111111111111111111111111111111111111111111111111111111111111"               | 2    | added.keys[0]                  | needs a team               |
      | [[added.keys]]\nid = "k"\nteam = "indexing"\nrole = "endpoint"\nhash = "1111111111111111111111111111111111111111111111111111111111111111" | 4 | added.keys[0].team         | has no team                |
      | [[added.keys]]\nid = "k"\nrole = "owner"\nhash = "1111111111111111111111111111111111111111111111111111111111111111"                | 4    | added.keys[0].role             | expected "caller"          |
      | [[added.keys]]\nid = "k"\nrole = "operator"\nhash = "1111111111111111111111111111111111111111111111111111111111111111"\n[[added.keys]]\nid = "l"\nrole = "operator"\nhash = "1111111111111111111111111111111111111111111111111111111111111111" | 9 | added.keys[1].hash | same hash |
      | [[added.queues]]\nname = "q"\nkind = "batch"\nopen = true\nworks = ["w"] | 2 | added.queues[0]                | needs a chargedTeam        |
      | [[added.queues]]\nname = "q"\nkind = "batch"\nworks = ["w"]\npriority = 1000 | 6 | added.queues[0].priority    | from 0 to 999              |
      | [[added.queues]]\nname = "q"\nkind = "batch"\nworks = []              | 5    | added.queues[0].works          | at least one               |
      | [[added.queues]]\nname = "q"\nkind = "batch"\nworks = [\n"w",\n"w"]   | 7    | added.queues[0].works[1]       | listed twice               |
      | number = 3                                                            | 2    |                                | not valid TOML             |

    Examples: against the configuration in force
      | toml                                                                  | line | path                           | message                    |
      | [[added.teams]]\nname = "indexing"\nshare = 1                         | 3    | added.teams[0].name            | already exists             |
      | [[changed.teams]]\nname = "indexin"\nshare = 1                        | 3    | changed.teams[0].name          | did you mean "indexing"    |
      | [[withdrawn.keys]]\nid = "nobody"                                     | 3    | withdrawn.keys[0].id           | does not exist             |
      | [[added.keys]]\nid = "k"\nrole = "caller"\nteam = "labratory"\nhash = "1111111111111111111111111111111111111111111111111111111111111111" | 5 | added.keys[0].team          | did you mean "laboratory"  |
      | [[added.queues]]\nname = "q"\nkind = "batch"\nworks = ["w"]\nteams = ["indexing", "x"] | 6 | added.queues[0].teams[1] | "x" does not exist   |
      | [[added.queues]]\nname = "q"\nkind = "batch"\nopen = true\nworks = ["w"]\nchargedTeam = "x" | 7 | added.queues[0].chargedTeam | "x" does not exist |
      | [[withdrawn.keys]]\nid = "operator-1"                                 | 0    |                                | must remain in force       |
      | [[withdrawn.teams]]\nname = "indexing"\n[[withdrawn.queues]]\nname = "watchers" | 3 | withdrawn.teams[0].name | still referenced by key    |
      | [[withdrawn.teams]]\nname = "indexing"\n[[withdrawn.keys]]\nid = "indexing-1" | 3 | withdrawn.teams[0].name   | still referenced by queue  |

  Scenario: a note number that is already used is refused
    When this release note is checked:
      """
      number = 1
      """
    Then the note has one fault at line 1 for "number" that says "must be above 1"

  Scenario: a team is withdrawn together with all references to it
    When this release note is checked:
      """
      number = 2
      withdrawn.teams = [{ name = "indexing" }]
      withdrawn.keys = [{ id = "indexing-1" }]
      [[changed.queues]]
      name = "watchers"
      kind = "service"
      works = ["watcher"]
      teams = ["laboratory"]
      """
    Then the note has no faults
    And the configuration after the note has number 2 and teams "laboratory"
    And the configuration before the note still has teams "indexing,laboratory"

  Scenario: faults of all kinds are reported in one pass
    When this release note is checked:
      """
      number = "two"
      [[added.teams]]
      name = "a"
      share = -1
      limit = { task = 1 }
      [[withdrawn.queues]]
      id = "watchers"
      """
    Then the note has faults at lines "1,4,5,6,7"

  Scenario: a diff lists each changed field
    When this release note is checked:
      """
      number = 2
      [[changed.teams]]
      name = "indexing"
      share = 2
      limit = { cpuMillis = 200000, tasks = 400 }
      """
    Then the diff of the note is:
      """
      note 1 -> 2
      ~ team indexing
          share: 1 -> 2
          limit.tasks: 500 -> 400
      """
