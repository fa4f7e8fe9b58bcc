Feature: What nodes see together reaches all of them
  Reports go up a tree of relays and seeds, digests come down. No node depends on one other node.

  Scenario Outline: Every node learns what all nodes have counted
    Given <nodes> nodes in 3 data centres that count what they see
    When each node counts 2 and 1.5 seconds pass
    Then every node knows a sum of <sum>, all told

    Examples:
      | nodes | sum |
      | 3     | 6   |
      | 30    | 60  |
      | 60    | 120 |

  Scenario: An urgent observation does not wait for the interval
    Given 30 nodes in 3 data centres that count what they see
    When 1.5 seconds pass
    And one node counts 1 and tells the others at once
    Then every node knows a sum of 1, without any further time

  Scenario: The first observation reaches the nodes that do not report yet
    # Guards against evidence that stays at one node because no other had a reason to report.
    Given 30 nodes in 3 data centres that count what they see
    When the section becomes inactive and 2 seconds pass
    And the section becomes active at one node, which counts 1 and tells the others at once
    Then every node knows a sum of 1, without any further time

  Scenario: The next seed takes over when the root ends
    Given 30 nodes in 3 data centres that count what they see
    When 1.5 seconds pass
    And the root ends and 4 seconds pass
    Then no node that is left is isolated
    And all digests come from one root

  Scenario: A node that is cut off knows that it is isolated
    Given 30 nodes in 3 data centres that count what they see
    When 1.5 seconds pass
    And one node is cut off for 1.5 seconds
    Then that node is isolated and the others are not

  Scenario Outline: No node sends a digest to all others of a large data centre
    # Guards links of 10 Mbit/s: the relay sent each digest to every node itself, 441 KB a second at
    # 190 nodes, and changes of the configuration waited behind them.
    Given <nodes> nodes in 3 data centres that count what they see
    When 3 seconds pass
    Then the busiest node sends at most <most> digests a second in the next 4 seconds
    And no node that is left is isolated

    Examples:
      | nodes | most |
      | 24    | 36   |
      | 190   | 40   |
      | 300   | 48   |

  Scenario: A forwarder that fails costs the nodes below it no more than some digests
    Given 190 nodes in 3 data centres that count what they see
    When 3 seconds pass
    And each forwarder of the root is cut off in turn for 2 seconds
    Then no other node was isolated at any time

  Scenario: Nodes that start one after the other get digests although forwarders do not know them
    # Guards the start of a fleet: 12 nodes got no digest until a forwarder had heard of them.
    Given 190 nodes in 3 data centres that count what they see
    When the nodes start within 1.5 seconds and 0.7 more seconds pass
    Then no node that is left is isolated
    And all digests come from one root

  Scenario: Digests that waited while a node was suspended are not taken for news
    # Guards against quotas and trials of the past, which such a digest would put into force.
    Given 30 nodes in 3 data centres that count what they see
    When 1.5 seconds pass
    And one node is suspended for 3 seconds and reads what came meanwhile
    Then that node is isolated and the others are not
    When 1 seconds pass
    Then no node that is left is isolated

  Scenario: A malformed section costs neither the digest nor the other sections
    Given a node that counts
    When it receives a digest with a malformed section and a good one
    Then the good one is in force and the other one is logged

  Scenario: Nodes without an active section send nothing
    Given 30 nodes in 3 data centres that count what they see
    When the section becomes inactive and 2 seconds pass
    Then no report or digest has been sent since
