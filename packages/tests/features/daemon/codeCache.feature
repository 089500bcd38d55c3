Feature: Code cache
  Spares a restarted process the compilation of its program, which delayed its first answers.

  Scenario Outline: a program starts with a cache that fits, and without any other
    Given a program whose code cache was written under the flags "<written under>"
    And <change>
    When it runs under the flags "<run under>"
    Then it works, and its code cache is "<use>"

    Examples:
      | written under            | change                  | run under                | use      |
      | --max-old-space-size=100 | nothing changes         | --max-old-space-size=100 | used     |
      | --max-old-space-size=100 | nothing changes         | --max-old-space-size=200 | absent   |
      | --max-old-space-size=100 | the program is replaced | --max-old-space-size=100 | rejected |
      | --max-old-space-size=100 | the cache is cut short  | --max-old-space-size=100 | rejected |

  Scenario: the build writes a code cache for the flags of each role
    Given a deploy file with the node flags "--max-old-space-size=100" and "--no-flush-bytecode"
    When the code caches of its roles are written
    Then the program of each role starts with its code cache
