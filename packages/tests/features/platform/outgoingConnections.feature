Feature: Connections to endpoints
  Guards against a replica that opens so many connections to endpoints that no descriptors are left for
  its files.

  Scenario: connections that are not in use are closed for others
    Given 12 servers that keep connections open, and a client with at most 5 connections
    When the client calls each server twice, one after the other
    Then all calls are answered, and at most 5 connections stay open

  Scenario: a call beyond the bound is not sent while all connections are in use
    Given 4 servers that keep connections open, and a client with at most 3 connections
    When the client calls all servers at once, and each takes 300 ms
    Then 3 calls are answered, and the others were not sent
    And a further call to each server is answered

  Scenario Outline: connections of a <role> leave descriptors for its files
    When the limits of a <role> with <memory> MB and <descriptors> descriptors are computed
    Then all its connections together leave at least <files> descriptors

    Examples:
      | role    | memory | descriptors | files |
      | gateway | 210    | 4096        | 200   |
      | replica | 346    | 4096        | 264   |
      | replica | 2048   | 4096        | 264   |
      | replica | 2048   | 65536       | 264   |
      | replica | 346    | 1024        | 264   |

  Scenario: a replica serves 1,000 endpoints and 99 gateways within its bounds
    When the limits of a replica with 346 MB and 4096 descriptors are computed
    Then there are at least 1000 connections of endpoints, 1300 to endpoints and 110 of instances
