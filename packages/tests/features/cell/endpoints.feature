@processes
Feature: Endpoints that stop, crash or fail everything
  Guards against new work on an endpoint that is stopping, work that runs twice or is lost
  after an endpoint crashed, and requests that fail because of an endpoint that fails everything.

  Scenario: one endpoint stops gracefully, one is killed and one fails everything
    Given a cell of 3 daemons of which 3 have a disk
    And 5 stand-in runners
    And 3 stand-in workers
    And a stand-in runner that fails everything
    When the laboratories send repeatable requests until stopped
    And 12 repeatable jobs and 12 jobs that must not be repeated run
    And an endpoint with running work is stopped gracefully
    And another endpoint with running work is killed
    Then the stopping endpoint has started no work after 3000 ms and finishes its running work
    And repeatable tasks of the killed endpoint run on another endpoint, not before its lease has expired
    And its tasks that must not be repeated end as unknown
    And the endpoint that fails everything is ejected
    When the load is stopped
    Then every request through an available instance got a complete response
    And the history shows no violation
