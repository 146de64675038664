Feature: Entries know which upstreams may get work

  Scenario Outline: Every entry knows within seconds that an upstream drains
    Given a data centre of 6 entries and 9 agents with seed <seed>
    When the upstream of agent 1 starts to drain
    And 3 seconds pass
    Then every entry knows that the upstream of agent 1 is draining

    Examples:
      | seed |
      | 1    |
      | 2    |
      | 3    |

  Scenario: An upstream drains while an entry dies
    Given a data centre of 6 entries and 9 agents with seed 4
    When the first holder of agent 1 dies
    And the upstream of agent 1 starts to drain
    And 3 seconds pass
    Then every entry knows that the upstream of agent 1 is draining

  Scenario: An agent dies
    Given a data centre of 6 entries and 9 agents with seed 5
    When agent 2 dies
    And 15 seconds pass
    Then no entry knows the upstream of agent 2
    And every entry knows the upstream of agent 3

  Scenario: Messages are lost, delayed and doubled
    Given a data centre of 6 entries and 9 agents with seed 6
    And links that lose, delay and double messages
    When 60 seconds pass
    Then every entry knows the upstream of agent 3
    And no running process was declared dead

  Scenario: An entry stalls repeatedly
    Given a data centre of 6 entries and 9 agents with seed 7
    When entry 0 stalls 5 times for 9 seconds
    Then entry 0 has accused nobody

  Scenario: An old announcement of a dead agent arrives before it restarts
    Given a data centre of 6 entries and 9 agents with seed 8
    When agent 2 dies
    And 15 seconds pass
    And the old announcement of agent 2 arrives
    Then no entry knows the upstream of agent 2
    When agent 2 restarts with a clock that is behind
    And 5 seconds pass
    Then every entry knows the upstream of agent 2

  Scenario: Halves of a data centre are cut off from each other and an entry restarts
    Given a data centre of 6 entries and 9 agents with seed 9
    When entries 0, 1, 2 are cut off from the other entries
    And 30 seconds pass
    And entry 4 restarts
    And 20 seconds pass
    And the cuts end
    And 60 seconds pass
    Then every entry knows all 6 entries
