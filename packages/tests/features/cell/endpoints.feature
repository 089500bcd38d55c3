@processes
Feature: Endpoints that leave, die or fail everything
  Guards against new work on an endpoint that is leaving, work that runs twice or is lost
  after an endpoint died, and requests that suffer from an endpoint that fails everything.

  Scenario: one endpoint leaves, one is killed and one fails everything
    Given a cell of 3 daemons of which 3 have a disk
    And 5 stand-in runners
    And 3 stand-in workers
    And a stand-in runner that fails everything
    When the laboratories send repeatable requests until told to stop
    And 12 repeatable jobs and 12 jobs that must not be repeated run
    And an endpoint with running work is told to leave
    And another endpoint with running work is killed
    Then the leaving endpoint has started nothing after 3000 ms and finishes its work
    And repeatable tasks of the killed endpoint run elsewhere, not before its lease has run out
    And its tasks that must not be repeated end as unknown
    And the endpoint that fails everything is ejected
    When the load is told to stop
    Then every request through a living instance was answered whole
    And the history shows no violation
