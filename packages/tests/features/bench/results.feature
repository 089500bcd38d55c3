Feature: Table of the journal
  Guards against a table of results that hides a broken rule or a day short of its gate.

  Scenario: one row for each entry that played days, the oldest first
    Given the journal entries
      | id | begun                | command | day       | worth | rules    | gate |
      | b  | 2026-12-04T12:00:00Z | run     | scale-1   | 0.5   | LOST 145 | no   |
      | a  | 2026-12-04T11:00:00Z | hunt    | quiet-1   | 0.9   |          | yes  |
      | a  | 2026-12-04T11:00:00Z | hunt    | trouble-1 | 0.7   |          | yes  |
      | c  | 2026-12-04T13:00:00Z | build   |           |       |          |      |
    Then the table of the journal has the rows
      | 2026-12-04T11:00:00Z ; hunt ; 2 days ; 0.800 ; 0.700 ; none ; -           |
      | 2026-12-04T12:00:00Z ; run ; scale-1 ; 0.500 ; 0.500 ; LOST 145 ; scale-1 |
