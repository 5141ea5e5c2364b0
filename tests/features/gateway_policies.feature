Feature: Operators swap and compare policies at running gateways

  Background:
    Given two gateways before engines whose large model is better and ten times as dear
    And an operator

  Scenario: a policy is swapped on live traffic, and the report tells what changed
    When requests are made
    And the operator defines best as the largest model and gives it half of the kitchen's sessions
    And requests are made
    Then each gateway serves both policies
    And the report tells that best is better and dearer than default
    When the operator ends the comparison with best
    And requests are made
    Then only the largest model has run since

  Scenario: nothing changes before a plan is confirmed
    When the operator plans that the kitchen uses best
    And requests are made
    Then the report tells of default alone

  Scenario: of two plans for one revision the second is stale, and confirming twice is harmless
    When the operator makes two plans and confirms the first one twice and then the second
    Then both confirmations of the first tell one revision and the second is refused as stale_plan

  Scenario: a confirmation whose answer is lost is found in the store
    When the operator confirms a plan while the store loses its answers
    Then confirming it again tells its revision, and it is in force

  Scenario Outline: what an operator may not do
    When <who> plans <wish>
    Then it is refused as <code>

    Examples:
      | who        | wish                            | code         |
      | a stranger | cascade --policy p --models large | unauthorized |
      | the operator | rollout --model large@v2      | bad_intent   |
      | the operator | cascade --policy p --models unheard-of | bad_intent |
      | the operator | compare --workspace kitchen --split nobody=1 | bad_intent |

  Scenario: the first document is written once
    When the first document is written again
    Then that is refused

  Scenario: burn is reported by workspace and route
    When requests are made
    Then the burn report tells the kitchen's stream route with nothing bad
