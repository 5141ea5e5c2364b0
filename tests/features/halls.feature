Feature: A data hall is lost, or halls lose each other, and what must hold holds

  Scenario Outline: a load while a hall is away
    Given two halls under a load of keyed and plain requests
    When hall "kirkos" is "<away>" for 4 seconds
    Then no key ran twice, and what was served was billed once
    And at least 90 of 100 requests were served
    And within 8 seconds requests of both kinds are served through every entry

    Examples:
      | away                             |
      | lost and comes back              |
      | parted from the other            |
      | parted from it and the platform  |

  Scenario: a key that ran in a hall that is out of reach
    Given two halls
    When a keyed request ran in "bole" and "kirkos" is parted from it and the platform
    And its key is repeated in "kirkos"
    Then the repeat is not told "not run"
    And once the halls are joined the repeat has the answer, and it ran once

  Scenario: a hall is lost with the bills of its entry and agent
    Given two halls whose entries file their bills seldom
    When requests ran in "kirkos" only and it is lost
    Then every one of them is billed once within 30 seconds

  Scenario: a withdrawal while halls are parted
    Given two halls
    When "kirkos" is parted from the other and the platform, and "small@v1" is withdrawn in "bole"
    Then it is in force within 8 seconds in "bole"
    And once the halls are joined, the platform still out of reach of "kirkos", in "kirkos" too
    And then no upstream begins a request on it
