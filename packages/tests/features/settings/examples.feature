Feature: Example settings
  Users start from the example files. Guards against examples that do not parse or that differ from
  the output of the generator for test cells.

  Scenario Outline: <file> is valid
    When the example "<file>" is loaded with placeholder certificate files
    Then the settings have no fault
    And the settings list <peers> peers, <replicas> of them replicas

    Examples:
      | file             | peers | replicas |
      | single.toml      | 1     | 1        |
      | nine.toml        | 9     | 3        |
      | thermometra.toml | 9     | 5        |
      | plintex.toml     | 9     | 3        |

  Scenario: the example with nine instances equals the generator's output
    When the example "nine.toml" is loaded with placeholder certificate files
    Then the settings equal those of the first generated instance

  Scenario: the two organisations use different packing weights
    Then the example "thermometra.toml" has a lower packing weight than "plintex.toml"
