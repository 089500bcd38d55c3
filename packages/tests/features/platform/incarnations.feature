Feature: Orders and incarnations of an endpoint
  Guards against times and numbers of one incarnation that the next one under the same id takes for
  its own: it would forget reports that nobody has read, and hold leases that nobody knows of.

  Background:
    Given an endpoint that has responded to the leader

  Scenario Outline: an order for one incarnation does not reach the next one
    When the endpoint restarts
    And the leader sends <order>
    Then the order has the outcome "<outcome>"
    And the next incarnation has received inspections without numbers only

    Examples:
      | order                                   | outcome        |
      | an inspection that acknowledges reports | response of 2  |
      | an inspection that renews the lease     | response of 2  |
      | a start                                 | wrong-instance |

  # The order was written as soon as the restart had ended the calls before it.
  Scenario Outline: an order that waits for a connection does not reach the next incarnation
    When the endpoint restarts while <order> waits for a connection
    Then the order has the outcome "<outcome>"
    And the next incarnation has received inspections without numbers only

    Examples:
      | order                                   | outcome        |
      | an inspection that acknowledges reports | response of 2  |
      | an inspection that renews the lease     | response of 2  |
      | a start                                 | wrong-instance |

  Scenario: each connection is proved once
    When the leader sends 40 inspections that acknowledge reports
    Then the endpoint has received at most 4 inspections without numbers
    When the leader sends 40 starts at once
    Then the order has the outcome "started"
    And the endpoint has received at most 8 inspections without numbers
