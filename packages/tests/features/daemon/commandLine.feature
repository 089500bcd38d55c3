Feature: Command line of the daemon
  Guards against misspelt options that are silently ignored.

  Scenario Outline: an invalid command line is rejected with one clear error
    When the daemon command runs with "<arguments>"
    Then it exits with code <code> and its error output contains "<text>"

    Examples:
      | arguments                      | code | text                                             |
      | --confg examples/single.toml   | 2    | unknown option --confg; did you mean --config?   |
      | --check                        | 2    | --config <file> is required                      |
      | --config /does/not/exist.toml  | 1    | /does/not/exist.toml: cannot be read             |

  Scenario: --check validates the settings without starting the daemon
    When the daemon command runs with "--config examples/single.toml --check"
    Then it exits with code 0 and its output contains "settings are valid"
