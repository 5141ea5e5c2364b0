Feature: What callers send is checked, and a bad request is refused as "not run"

  Scenario Outline: a bad request
    Given a small fleet
    When a caller sends <what>
    Then the answer has status <status>, code "<code>" and ran "no"
    And the next good request is served

    Examples:
      | what                              | status | code         |
      | no token                          | 401    | unauthorized |
      | an unknown token                  | 401    | unauthorized |
      | an unknown model                  | 404    | not_found    |
      | an unknown version                | 404    | not_found    |
      | a body that is not JSON           | 400    | bad_request  |
      | no messages                       | 400    | bad_request  |
      | messages of a wrong type          | 400    | bad_request  |
      | the wrong content type            | 400    | bad_request  |
      | an unknown class                  | 400    | bad_request  |
      | a deadline that is no number      | 400    | bad_request  |
      | a key that is too long            | 400    | bad_request  |
      | a key used for another request    | 400    | bad_request  |
      | a body that is too large          | 413    | too_large    |
      | a head that is too large          | 431    | too_large    |
      | a request that is not HTTP        | 400    | bad_request  |
      | a body that never comes           | 408    | too_slow     |
      | an unknown path                   | 404    | not_found    |
      | a service it may not call         | 403    | forbidden    |

  Scenario: the published openai client works unchanged
    Given a small fleet
    When the openai client lists models, asks plainly and asks for a stream
    Then it holds whole answers

  Scenario: an upstream service is called
    Given a small fleet
    When a caller calls the service "site"
    Then the service's own answer comes back

  Scenario: metrics and health
    Given a small fleet
    When the internal listener of an entry is asked
    Then it answers health, readiness and every metric that the docs name

  Scenario: limits of a workspace
    Given a small fleet
    When 12 callers of a workspace that may have 3 requests at once ask together
    Then some are served and the others refused with "limited" and when to come back
