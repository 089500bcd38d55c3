Feature: Audit trail
  Operators use the trail as evidence of who changed what, so verification must detect an edited,
  removed or reordered entry.

  Scenario: an intact trail
    Given an audit trail of 5 entries
    Then the audit trail is intact

  Scenario: a bounded trail whose first entry was discarded is intact
    Given an audit trail of 5 entries
    When audit entry 1 is removed
    Then the audit trail is intact

  Scenario Outline: tampering with a trail is detected
    Given an audit trail of 5 entries
    When <change>
    Then the audit trail has a fault at index <index>

    Examples:
      | change                                                   | index |
      | audit entry 3 is removed                                 | 4     |
      | the summary of audit entry 3 is edited                   | 3     |
      | the summary of audit entry 3 is edited and its hash recomputed | 4    |
      | the summary of audit entry 5 is edited                   | 5     |
      | audit entries 2 and 3 are swapped                        | 3     |
