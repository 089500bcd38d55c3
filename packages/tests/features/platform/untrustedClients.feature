Feature: Hostile clients of the listeners

  Clients that nobody controls ended a process by memory exhaustion. Each scenario starts processes
  of the system with a lowered heap, plays one kind of hostile clients against one listener, and
  checks that the process survives within its limits and still answers an ordinary request.

  Scenario Outline: <count> clients send <kind> to the listener <listener>
    Given processes for the listener <listener> with <memory> MB, a heap of <heap> MB and 4096 descriptors
    When <count> clients send <kind> and read no response
    Then an ordinary request to it is answered
    And the process lives and has never used more than <memory> MB and 3896 descriptors

    Examples:
      | listener        | count | kind                               | memory | heap |
      | callers         | 16    | bodies in tiny chunks              | 210    | 64   |
      | callers         | 700   | bodies in large chunks             | 210    | 64   |
      | callers         | 64    | pipelined requests                 | 210    | 64   |
      | callers         | 64    | pipelined requests without headers | 210    | 64   |
      | readiness       | 64    | bodies in tiny chunks              | 210    | 64   |
      | readiness       | 64    | pipelined requests                 | 210    | 64   |
      | readiness       | 64    | pipelined requests without headers | 210    | 64   |
      | gateway metrics | 64    | bodies in tiny chunks              | 210    | 64   |
      | gateway metrics | 64    | pipelined requests                 | 210    | 64   |
      | gateway metrics | 64    | pipelined requests without headers | 210    | 64   |
      | control         | 8     | bodies in tiny chunks              | 346    | 96   |
      | control         | 100   | bodies in large chunks             | 346    | 96   |
      | control         | 64    | pipelined requests                 | 346    | 96   |
      | control         | 64    | pipelined requests without headers | 346    | 96   |
      | replica metrics | 64    | pipelined requests                 | 346    | 96   |
      | daemon          | 8     | bodies in tiny chunks              | 346    | 96   |
      | daemon          | 100   | bodies in large chunks             | 346    | 96   |
      | daemon          | 64    | pipelined requests                 | 346    | 96   |
      | daemon          | 64    | pipelined requests without headers | 346    | 96   |

  Scenario Outline: <count> connections to the listener <listener> leave descriptors for files
    Given processes for the listener <listener> with 346 MB, a heap of 96 MB and 400 descriptors
    When <count> clients send nothing and read no response
    Then an ordinary request to it is answered
    And the process lives and has never used more than 346 MB and 300 descriptors

    Examples:
      | listener        | count |
      | callers         | 500   |
      | readiness       | 500   |
      | gateway metrics | 500   |
      | control         | 500   |
      | replica metrics | 500   |

  Scenario: a replica records configurations while connections use up its descriptors
    Given processes for the listener control with 346 MB, a heap of 96 MB and 400 descriptors
    When 500 clients send nothing and read no response
    And the operator sends 5 configurations
    Then an ordinary request to it is answered
    And the process lives and has never used more than 346 MB and 300 descriptors
