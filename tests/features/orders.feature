Feature: A roll-out has its version loaded by fenced orders

  Scenario: a version that no engine has loaded
    Given a small fleet whose engines have not loaded "large@v2"
    When "large@v2" is rolled out
    Then every engine has it within 20 seconds, by one order taken under the roll-out's revision
    And requests reach it

  Scenario: an engine that can't be reached for a while, and whose store is busy then
    Given a small fleet whose engines have not loaded "large@v2"
    When "large@v2" is rolled out while engine-1 gives no answer, and refuses orders later
    Then every engine has it within 20 seconds, by one order taken under the roll-out's revision

  Scenario: an agent that was paused and wakes with an old configuration
    Given a small fleet whose engines have not loaded "large@v2"
    When agent-1 is paused with an order to give, and "large@v2" is withdrawn meanwhile
    Then agent-1 gives no order when it wakes, until it has heard of the withdrawal
