Feature: Resource vectors
  Guards against overcommitted endpoints, which result if placement ignores or mixes up one
  dimension when it compares resource vectors.

  Scenario Outline: a size fits only if every dimension fits
    Given an endpoint with <cpu> millicores, <mem> MiB, <acc> accelerators and <slots> slots free
    When a task needs 1000 millicores, 2048 MiB, 1 accelerators and 0 slots
    Then the task <fits>

    Examples:
      | cpu  | mem  | acc | slots | fits         |
      | 1000 | 2048 | 1   | 0     | fits         |
      | 999  | 2048 | 1   | 0     | does not fit |
      | 1000 | 2047 | 1   | 0     | does not fit |
      | 1000 | 2048 | 0   | 8     | does not fit |
