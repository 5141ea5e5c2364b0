Feature: A gateway rolls versions out

  Scenario: a good version is completed in time
    Given a deployment with a new version
    When it is rolled out in 6 seconds under load
    Then the roll-out is completed
    And every request was served

  Scenario: a bad version is rolled back
    Given a deployment with a bad version
    When it is rolled out in 8 seconds under load
    Then the roll-out is rolled_back
    And it got fewer than 15 of 100 requests
    And every request was served

  Scenario: a version that answers several times slower was completed
    Given a deployment with a slow version
    When it is rolled out in 8 seconds under load
    Then the roll-out is rolled_back
    And it got fewer than 15 of 100 requests
    And every request was served

  Scenario: a roll-out goes on through the restart of every gateway
    Given a deployment with a new version
    When it is rolled out in 6 seconds and every gateway is killed at 4 seconds
    Then the roll-out is completed
