Feature: An isolated control host changes nothing

  Scenario: Orders of an older term are refused
    Given an agent with an upstream and 3 voters with seed 1
    When the leader of term 4 orders with index 50
    Then an order of term 3 with index 60 is refused as fenced

  Scenario: Orders of an older term are refused after the agent restarts
    Given an agent with an upstream and 3 voters with seed 2
    When the leader of term 4 orders with index 50
    And the agent restarts
    Then an order of term 3 with index 60 is refused as unknown
    When 3 seconds pass
    Then an order of term 3 with index 60 is refused as fenced
    And an order of term 4 with index 50 passes

  Scenario: The agent restarts while it reaches only the isolated control host
    Given an agent with an upstream and 3 voters with seed 3
    When the leader of term 4 orders with index 50
    And the agent is cut off from voters c1 and c2
    And the agent restarts
    And 60 seconds pass
    Then an order of term 3 with index 60 is refused as unknown
    When the cuts end
    And 3 seconds pass
    Then an order of term 3 with index 60 is refused as fenced
