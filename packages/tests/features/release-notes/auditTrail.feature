Feature: Audit trail
  Operators prove with the trail who changed what; an edited, removed or reordered entry must
  show.

  Scenario: an intact trail
    Given an audit trail of 5 entries
    Then the audit trail is intact

  Scenario: a bounded trail begins in the middle
    Given an audit trail of 5 entries
    When audit entry 1 is removed
    Then the audit trail is intact

  Scenario Outline: a trail is tampered with
    Given an audit trail of 5 entries
    When <change>
    Then the audit trail has a fault at index <index>

    Examples:
      | change                                                   | index |
      | audit entry 3 is removed                                 | 4     |
      | the summary of audit entry 3 is edited                   | 3     |
      | the summary of audit entry 3 is edited and it is rehashed | 4    |
      | the summary of audit entry 5 is edited                   | 5     |
      | audit entries 2 and 3 are swapped                        | 3     |
