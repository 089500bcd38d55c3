Feature: Command line of the daemon
  Guards against options that are misspelt and then silently ignored.

  Scenario Outline: a wrong command line gets one clear error
    When the daemon command runs with "<words>"
    Then it exits with code <code> and its error names "<text>"

    Examples:
      | words                          | code | text                                             |
      | --confg examples/single.toml   | 2    | unknown option --confg; did you mean --config?   |
      | --check                        | 2    | --config <file> is required                      |
      | --config /does/not/exist.toml  | 1    | /does/not/exist.toml: cannot be read             |

  Scenario: valid settings are checked without a start
    When the daemon command runs with "--config examples/single.toml --check"
    Then it exits with code 0 and its output names "settings are valid"
