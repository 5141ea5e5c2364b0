Feature: A planned stop cuts no request short, and a leaving upstream gets nothing new

  Scenario Outline: a planned stop under long streams
    Given a small fleet with 6 long streams under way
    When "<process>" is asked to stop
    Then it ends with exit code 0
    And all 6 streams are whole
    And all 6 requests are billed

    Examples:
      | process |
      | entry-1 |
      | agent-1 |
      | agent-2 |

  Scenario Outline: a leaving upstream
    Given a small fleet under a load of keyed and plain requests
    When agent-1 leaves by "<word>"
    Then after 5 seconds its engine begins nothing new
    And no request failed

    Examples:
      | word          |
      | the box list  |
      | its own word  |

  Scenario: a rolling restart of every entry and agent under load
    Given a small fleet under a load of keyed and plain requests
    When every entry and agent is restarted by planned stops in turn
    Then no request failed
    And each key ran once and was billed once
