Feature: A roll-out exposes few requests to a bad version, and goes on after an interruption

  Scenario Outline: a version that is bad is withdrawn by itself
    Given a small fleet with "large@v1" in use
    When "large@v2" is rolled out and "<fault>"
    Then it is withdrawn by itself within 30 seconds because of its "<guard>"
    And at most <n> requests reached it, and nothing new does

    Examples:
      | fault               | guard  | n   |
      | fails half its runs | failed | 30  |
      | answers slowly      | slow   | 60  |
      | is rated worse      | rating | 150 |

  Scenario: the cap on exposure holds over all entries
    Given a small fleet with "large@v1" in use
    When "large@v2" is rolled out to all with at most 11 requests exposed
    Then of 60 requests through both entries at most 11 reach it, and all are served

  Scenario: all entries are replaced in the middle of a roll-out
    Given a small fleet with "large@v1" in use
    When "large@v2" is rolled out and all entries are killed and started again
    Then the roll-out goes on to its end
