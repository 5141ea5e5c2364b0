Feature: A session keeps its version

  Scenario Outline: a session through "<change>"
    Given a small fleet with a session on "large@v1"
    When "<change>" happens
    Then 12 further requests of the session at both entries run on "large@v1"

    Examples:
      | change                                 |
      | nothing                                |
      | a roll-out of large@v2 to its end      |
      | a restart of both entries              |
      | a restart of all agents                |
      | a rotation of the session key          |

  Scenario Outline: a bad session token
    Given a small fleet with a session on "large@v1"
    When a request brings a token that is "<kind>"
    Then it is refused with "<code>" and ran "no"

    Examples:
      | kind                          | code          |
      | forged                        | bad_session   |
      | cut short                     | bad_session   |
      | of another workspace          | bad_session   |
      | of a key dropped since        | bad_session   |
      | of a version withdrawn since  | session_ended |
      | for another model             | bad_session   |
