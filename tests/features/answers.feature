Feature: A caller receives the whole answer to its own request

  Scenario Outline: many callers at once over a faulty link
    Given a small fleet
    When 8 callers ask "<form>" while replies on the "<link>" link suffer "<fault>"
    Then no caller holds an answer that is not its own and whole
    And at least <served> of 8 callers are served

    Examples:
      | form     | link     | fault      | served |
      | plain    | agent    | nothing    | 8      |
      | plain    | agent    | truncate   | 6      |
      | plain    | agent    | duplicate  | 6      |
      | plain    | agent    | crossed    | 6      |
      | plain    | agent    | lose_reply | 6      |
      | plain    | agent    | half_close | 6      |
      | plain    | agent    | delay      | 8      |
      | plain    | upstream | truncate   | 4      |
      | plain    | upstream | crossed    | 0      |
      | streamed | agent    | truncate   | 6      |
      | streamed | agent    | duplicate  | 6      |
      | streamed | agent    | crossed    | 6      |
      | streamed | agent    | lose_reply | 6      |
      | streamed | upstream | truncate   | 0      |

  Scenario: a stream outlives its entry
    Given a small fleet
    When a caller reads a stream and its entry is killed half-way
    And the caller reads on through the other entry from the last event it has seen
    Then the pieces make one whole answer
    And the engine ran it once

  Scenario: a stream token of another workspace is refused
    Given a small fleet
    When a caller reads on with the stream token of another workspace
    Then it is refused with "bad_session" and ran "no"
