Feature: Requests of clients that have left
  Guards against an instance that was suspended and carries out, when it wakes, what its clients have
  given up and may have cancelled or undone at another instance.

  Scenario Outline: a request whose client has left before it is read has no effect
    Given an HTTP listener of the <interface>
    When a client sends <method> with <body> and <leaves>
    Then the listener has handled 0 requests
    When another client sends <method> with <body> and waits
    Then the listener has handled 1 request
    And the client has been answered

    Examples:
      | interface | method | body         | leaves                     |
      | platform  | POST   | 50 bytes     | closes its connection      |
      | platform  | POST   | 200000 bytes | closes its connection      |
      | platform  | POST   | 50 bytes     | resets its connection      |
      | platform  | DELETE | no body      | closes its connection      |
      | platform  | PUT    | 50 bytes     | closes its connection      |
      | product   | POST   | 50 bytes     | closes its connection      |
      | product   | POST   | 50 bytes     | resets its connection      |
      | product   | DELETE | no body      | closes its connection      |

  # Guards against a listener that waits for a close that need not come.
  Scenario: a client that keeps its connection open is answered for each of its requests
    Given an HTTP listener of the platform
    When a client sends 20 requests one after the other
    Then the listener has handled 20 requests
