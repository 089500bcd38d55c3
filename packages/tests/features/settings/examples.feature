Feature: Example settings
  Users start from the examples; an example that does not parse, or that differs from the
  generator of test cells, misleads them.

  Scenario Outline: <file> is accepted
    When the example "<file>" is loaded with stand-ins for its certificates
    Then the settings have no fault
    And the settings name <peers> peers of which <replicas> are replicas

    Examples:
      | file             | peers | replicas |
      | single.toml      | 1     | 1        |
      | nine.toml        | 9     | 3        |
      | thermometra.toml | 9     | 5        |
      | plintex.toml     | 9     | 3        |

  Scenario: the example of nine instances is what the generator writes
    When the example "nine.toml" is loaded with stand-ins for its certificates
    Then the settings equal those of the first generated instance

  Scenario: the two users weigh packing differently
    Then the example "thermometra.toml" weighs packing less than "plintex.toml"
