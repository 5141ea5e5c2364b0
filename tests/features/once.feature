Feature: A request that may not be repeated runs at most once and is billed once

  Scenario Outline: a key under a fault
    Given a small fleet
    When a keyed request meets "<fault>"
    And its key is repeated through the other entry
    Then it ran at most once
    And it was billed as often as it ended
    And no "not run" was false
    And the last word was "<last>"

    Examples:
      | fault                                    | last                     |
      | nothing                                  | served                   |
      | race at both entries                     | served                   |
      | entry killed before its claim            | served                   |
      | entry killed after its claim             | served                   |
      | entry killed mid-stream                  | served                   |
      | entry killed before the bill             | served                   |
      | entry frozen after its claim, thawed     | served                   |
      | dispatch frozen on its way, thawed late  | served                   |
      | reply to the dispatch lost               | served                   |
      | agent killed mid-stream                  | outcome_unknown          |
      | agent frozen mid-stream, thawed          | served                   |
      | agent replaced while its engine ran on   | outcome_unknown          |
      | agent replaced after the answer          | answer_lost              |
      | reply to the claim lost                  | served                   |
      | platform down before                     | served                   |
      | platform down during                     | served                   |
      | platform down after, until the repeat    | served                   |
      | platform down during, until repeats      | served                   |
      | entries replaced in an outage            | served                   |
      | limits, at the repeat                    | served                   |
      | engine fails                             | upstream_failed          |
      | engine down                              | served                   |
      | engine's replies lost                    | outcome_unknown          |

  Scenario: agents freeze while a request without a key is on its way
    Given a small fleet
    When all agents are frozen, a request is given up on, and they are thawed
    Then no "not run" was false by request id

  Scenario: a key on a policy with a cascade
    Given a small fleet
    When a keyed request for "auto" is sent through both entries in turn
    Then it ran at most once
    And the last word was "served"
