Feature: Hashes of release notes and keys
  A resent note is recognised by its hash; a hash that depends on formatting would turn a resent
  note into a conflict, and one that ignores content would hide a conflict.

  Scenario: formatting does not matter
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

  Scenario Outline: content matters
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

  Scenario: any note keeps its hash through TOML with shuffled entries
    Then 300 random notes keep their hash when they are encoded in another order

  Scenario: the note parser survives any text
    Then 500 random texts are parsed to a note or to faults
    And a text of 100000 nested lists is refused

  Scenario: the line finder names the line of every key
    Then 300 random documents have every key at the line where it stands

  Scenario: created keys
    Then a created key has a secret of 47 characters that begins with "lgk_" and matches its hash
    And two created keys differ
