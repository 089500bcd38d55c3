Feature: Hashes of release notes and keys
  A resent note is recognised by its hash. A hash that depends on formatting would report a resent
  note as a conflict, and one that ignores content would hide a conflict.

  Scenario: formatting does not affect the hash
    Given the release note text "first":
      """
      number = 7 # seventh
      [[added.teams]]
      name = "a"
      share = 1.0
      [[added.teams]]
      name = "b"
      share = 2
      limit = { tasks = 5 }
      """
    And the release note text "second":
      """
      "number" = 0x7
      added = { teams = [ { limit.tasks = 5, share = 2, name = 'b' }, { share = 1, name = """a""" } ] }
      """
    Then the release notes "first" and "second" have equal hashes

  Scenario Outline: content affects the hash
    Given the release note text "first":
      """
      number = 7
      [[added.teams]]
      name = "a"
      share = 1
      """
    And the release note text "second":
      """
      number = <number>
      [[<section>.teams]]
      name = "<name>"
      share = <share>
      """
    Then the release notes "first" and "second" have different hashes

    Examples:
      | number | section | name | share |
      | 8      | added   | a    | 1     |
      | 7      | changed | a    | 1     |
      | 7      | added   | b    | 1     |
      | 7      | added   | a    | 2     |

  Scenario: a TOML round trip with reversed entries keeps the hash
    Then 300 random notes keep their hash when they are encoded in reverse order

  Scenario: the note parser handles any text without throwing
    Then 500 random texts are parsed to either a note or faults
    And a text of 100000 nested lists is refused

  Scenario: the line of every key is located
    Then 300 random documents have every key located at its line

  Scenario: created keys
    Then a created key has a secret of 47 characters that begins with "lgk_" and matches its hash
    And two created keys differ
