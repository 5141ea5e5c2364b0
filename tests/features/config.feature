Feature: An accepted configuration is in force everywhere within seconds and never reverts

  Scenario Outline: a version is withdrawn under a fault
    Given a small fleet under a steady load on "small"
    When "small@v1" is withdrawn while "<fault>"
    Then within 8 seconds no upstream begins a request on it
    And every process that runs has the new revision
    And no process ever went back to a lower revision

    Examples:
      | fault                                       |
      | nothing                                     |
      | entry-1 is cut from the platform            |
      | agent-1 is cut from the platform            |
      | entry-1 and all agents are cut from it      |
      | the watch of every process hangs            |
      | the platform goes down right after          |
      | entry-1 is born in an outage                |
      | agent-1 is born in an outage                |

  Scenario: a permission is taken away
    Given a small fleet under a steady load on "small"
    When workspace "mesob" loses "small" while "entry-1 is cut from the platform"
    Then within 8 seconds no upstream begins a request on it
    And its requests are refused with "forbidden" and ran "no"

  Scenario: an older document in the platform reverts nothing
    Given a small fleet under a steady load on "small"
    When the platform is put back to an older document
    Then no process ever went back to a lower revision

  Scenario: operators race
    Given a small fleet under a steady load on "small"
    When two operators confirm plans for the same revision at both entries
    Then one is in force and the other is told "stale_plan"

  Scenario: the reply to a confirm is lost
    Given a small fleet under a steady load on "small"
    When the platform loses its replies while a plan is confirmed
    Then confirming again answers the same revision
    And the revision rose by one
