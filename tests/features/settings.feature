Feature: Bad settings are named with file, path and mend, and nothing is started

  Scenario Outline: a fault in an entry's settings
    Given the settings of an entry with <change>
    When they are checked
    Then the exit code is 2
    And one line names the file, "<path>" and "<mend>"

    Examples:
      | change                              | path               | mend                      |
      | unknown key "colour" = 1            | $:                 | known keys                |
      | "hall" = 7                          | $.hall             | write a value of type     |
      | "subset" = 0                        | $.subset           | minimum is 1              |
      | "listen.port" = 70000               | $.listen.port      | maximum is 65535          |
      | "listen.host" = "not-an-ip"         | $.listen.host      | format is ipv4            |
      | "platform" = "platform.local:80"    | $.platform         | write `ip:port`           |
      | "agents" = ["1.2.3.4:99999"]        | $.agents[0]        | write `ip:port`           |
      | "log.level" = "LOUD"                | $.log.level        | write one of              |
      | "tls" = {"cert": "x", "key": "entry.json"}  | $.tls.cert         | no such file              |
      | "program" = "exit"                  | $.program          | must name a program       |
      | without "log"                       | $:                 | add it                    |
      | not JSON                            | $:                 | not JSON with comments    |

  Scenario: a fault stops a program from starting
    Given the settings of an entry with "subset" = 0
    When the entry is started with them
    Then the exit code is 2
    And one line names the file, "$.subset" and "minimum is 1"
