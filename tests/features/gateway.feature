Feature: A gateway serves callers on the users' platform

  Background:
    Given a deployment

  Scenario: a request goes through unchanged
    When a caller makes a call that may run once
    Then it is served
    And its upstream saw the method, path, body and workspace, and no key

  Scenario Outline: what is refused, and how
    When a caller asks <what>
    Then it is refused with <status>
    And no upstream saw it

    Examples:
      | what                    | status |
      | an unknown path         | 404    |
      | with an unknown key     | 401    |
      | without a key           | 401    |
      | with too large a body   | 413    |

  Scenario: an open route needs no key
    When a caller without a key asks an open route
    Then it is served

  Scenario: a confident answer of the small model is taken
    When a caller asks for a stream
    Then it is served whole
    And the models asked were small

  Scenario: an answer that is not confident is asked again of the large model
    Given engines that are not confident
    When a caller asks for a stream
    Then it is served whole
    And the models asked were small, large

  Scenario: a stream that breaks off is taken up elsewhere
    Given an engine that breaks off after 2 events
    When callers ask for 8 streams
    Then all are served whole
    And the engine that broke off was asked

  Scenario: an engine that refuses has not run it
    Given an engine that refuses
    When callers ask for 8 streams
    Then all are served whole

  Scenario: a call that may run once is not sent twice
    Given services that answer with 500
    When a caller makes a call that may run once
    Then the upstream's 500 is passed on
    And it ran once

  Scenario: a call that may repeat is tried again
    Given a service that answers with 500
    When callers make 8 calls that may repeat
    Then all are served

  Scenario: the time limit is kept
    Given services that stay silent
    When a caller makes a call that may run once, with 600 ms
    Then it is answered with 504 within 1200 ms

  Scenario: a caller that leaves ends the work
    Given engines that stream slowly
    When a caller leaves within a stream
    Then its run is cut within 500 ms

  Scenario: a key that is taken away stops working though the store is away
    Given a gateway that the store does not answer
    When 2 seconds have passed
    Then a keyed request is refused as not run
    And an open route still works
    And the gateway does not want callers

  Scenario Outline: where operators say so, the last known keys work on while the store is away
    Given a gateway that serves on by the last known keys
    And a store that <does> nobody
    When 4 seconds have passed
    Then a keyed request is served
    And an unknown key is refused as not run
    And the gateway wants callers
    And it tells how old the keys are that it serves by

    Examples:
      | does    |
      | answers |
      | serves  |

  Scenario: a key taken away while the store is away stops working when it is back
    Given a gateway that serves on by the last known keys
    And a store that answers nobody
    When 3 seconds have passed
    And the store is back and a key is taken away
    Then that key is refused within 2 seconds
    And a keyed request is served

  Scenario: keys that may be old give way to the word of another gateway
    Given a gateway that serves on by the last known keys
    And another gateway, and the first one cut from the store
    When a key is taken away and 2 seconds have passed
    Then that key is refused by both
    And a keyed request is served by both

  Scenario: a gateway that the store turns away serves by the word of another
    Given another gateway, and the first one cut from the store
    When 3 seconds have passed
    Then a keyed request is served by both
    And both want callers

  Scenario: a key that is taken away stops working also by the word of another
    Given another gateway, and the first one cut from the store
    When a key is taken away and 2 seconds have passed
    Then that key is refused by both
    And a keyed request is served by both

  Scenario: a gateway that nobody can help refuses keyed requests, though it knows others
    Given another gateway, and a store that answers nobody
    When 4 seconds have passed
    Then a keyed request is refused as not run

  Scenario: in an outage for all, a stopping gateway is the only one not ready
    Given another gateway, and a store that answers nobody
    When 3 seconds have passed
    Then both want callers

  Scenario: a new configuration is in force soon
    When a route is added
    Then it is served within 1 seconds

  Scenario: a lost history is listed again
    When the store forgets its history and a route is added
    Then it is served within 4 seconds

  Scenario: a leaving upstream gets nothing new
    When an engine says that it is leaving
    Then it gets nothing after 1 seconds

  Scenario: a planned stop cuts nothing
    Given engines that stream slowly
    When a gateway is asked to stop under 4 streams
    Then all are served whole
    And it has ended well

  Scenario: settings are reloaded
    When a gateway's settings are changed and it is told
    Then it says what changed

  Scenario: metrics and logs
    When a caller makes a call that may run once
    Then its log lines lead from its id to its upstream
    And the metrics count it

  Scenario: the last upstream that may be asked is waited for
    Given services that take 600 ms
    When a caller makes a call that may repeat
    Then it is served
