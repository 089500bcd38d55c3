Feature: Endpoints that announce a smaller size
  Guards against work that is placed beyond the size that an endpoint has announced, while the
  announcement is being committed.

  Scenario: a smaller size counts before its announcement is committed
    Given a leader whose commits are delayed
    When the endpoint of 4 slots announces a size of 1 slot
    And 3 requests are acquired
    And the delayed commits succeed
    Then 1 attempt was placed
