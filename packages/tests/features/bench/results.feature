Feature: Journal table
  Guards against a results table that omits a broken rule or a day that missed its gate.

  Scenario: the table has one row for each entry with days, oldest first
    Given the journal entries
      | id | begun                | command | day       | worth | rules    | gate |
      | b  | 2026-12-04T12:00:00Z | run     | scale-1   | 0.5   | LOST 145 | no   |
      | a  | 2026-12-04T11:00:00Z | hunt    | quiet-1   | 0.9   |          | yes  |
      | a  | 2026-12-04T11:00:00Z | hunt    | trouble-1 | 0.7   |          | yes  |
      | c  | 2026-12-04T13:00:00Z | build   |           |       |          |      |
    Then the journal table has the rows
      | 2026-12-04T11:00:00Z ; hunt ; 2 days ; 0.800 ; 0.700 ; none ; -           |
      | 2026-12-04T12:00:00Z ; run ; scale-1 ; 0.500 ; 0.500 ; LOST 145 ; scale-1 |
