Feature: An accepted manifest is in force everywhere and never reverts

  Scenario Outline: Every push is lost
    Given a tree of 3 control hosts, 2 relays, 4 entries and 8 agents with seed <seed>
    And 5 accepted revisions in force
    When every push is lost
    And a revision is accepted
    And 4 seconds pass
    Then the last revision is in force on every running process
    And no process ever reverted

    Examples:
      | seed |
      | 1    |
      | 2    |
      | 3    |

  Scenario Outline: Messages are lost, delayed, doubled and reordered while processes restart
    Given a tree of 3 control hosts, 2 relays, 4 entries and 8 agents with seed <seed>
    And links that lose, delay, double and reorder messages
    When 40 revisions are accepted while processes restart at random
    And 30 seconds pass
    Then the last revision is in force on every running process
    And no process ever reverted

    Examples:
      | seed |
      | 4    |
      | 5    |

  Scenario: Processes restart after hundreds of changes
    Given a tree of 3 control hosts, 2 relays, 4 entries and 8 agents with seed 6
    And 400 accepted revisions in force
    When every process restarts at once
    And 2 seconds pass
    Then no process serves
    When the control hosts learn again what is committed
    And 10 seconds pass
    Then the last revision is in force on every running process
    And no process ever reverted

  Scenario: A control host is isolated for 600 seconds
    Given a tree of 3 control hosts, 2 relays, 4 entries and 8 agents with seed 7
    And 5 accepted revisions in force
    When host c0 is cut off from all others
    And a revision is accepted by c1 and c2
    And 4 seconds pass
    Then the last revision is in force on every running process but c0
    When 600 seconds pass
    Then host c0 reports that it is cut off
    When the cuts end
    And the control hosts learn again what is committed
    And 4 seconds pass
    Then the last revision is in force on every running process
    And no process ever reverted

  Scenario: The second relay dies right after the first one has restarted
    Given a tree of 3 control hosts, 2 relays, 4 entries and 8 agents with seed 8
    And 5 accepted revisions in force
    When host r0 dies
    And a revision is accepted
    And 2 seconds pass
    And host r0 restarts
    And host r1 dies
    And a revision is accepted
    And 8 seconds pass
    Then the last revision is in force on every running process
    And no process ever reverted

  Scenario: A region is cut off and one of its processes restarts
    Given a tree of 3 control hosts, 2 relays, 4 entries and 8 agents with seed 9
    And 5 accepted revisions in force
    When hosts r1, e0, a0 are cut off from all others
    And a revision is accepted
    And host e0 restarts
    And 15 seconds pass
    Then host r1 reports that it is cut off
    And host r1 serves
    And host e0 does not serve
    When the cuts end
    And 6 seconds pass
    Then the last revision is in force on every running process
    And no process ever reverted

  Scenario: Every push is lost and a parent on each level is dead
    Given a tree of 3 control hosts, 3 relays, 4 entries and 8 agents with seed 10
    And 5 accepted revisions in force
    When host c2 dies
    And host r2 dies
    And host e3 dies
    And every push is lost
    And a revision is accepted
    And 4 seconds pass
    Then the last revision is in force on every running process
    And no process ever reverted
