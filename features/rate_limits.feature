Feature: Targets that name the rate of requests that they take from all nodes together
  The real reducers before modelled targets in virtual time; no network, no process.

  Scenario Outline: All nodes together keep to the rate that a target has named
    # Guards LIMIT: each node knew a part of a target's requests only, and no node read the limit, so
    # that a target which had named 8.3 requests a second got 82 in 4 s (55 allowed).
    Given <nodes> nodes before <targets> targets, of which <limited> name <limit> requests a second
    When <rate> requests a second arrive for 16 s, with seeds 1 to 2
    Then no target gets more than one and a half times its limit and 5 requests in 4 s from nodes that it has told

    Examples: few nodes
      | nodes | targets | limited | limit | rate |
      | 24    | 17      | 12      | 8.3   | 190  |
      | 24    | 17      | 17      | 2.5   | 190  |

    Examples: many nodes, each of which meets a target rarely
      | nodes | targets | limited | limit | rate |
      | 220   | 58      | 41      | 3.1   | 260  |
      | 220   | 58      | 58      | 1.5   | 260  |

  Scenario Outline: Callers are served at a low rate that a whole service names
    # Guards against keeping to a rate by sending nothing: permits that lapse must not go to waste.
    Given <nodes> nodes before <targets> targets, of which <targets> name <limit> requests a second
    When <rate> requests a second arrive for 16 s, with seeds 1 to 1
    Then the targets begin at least half of the requests that their limits allow

    Examples:
      | nodes | targets | limit | rate |
      | 24    | 17      | 2.5   | 190  |
      | 220   | 58      | 1.5   | 260  |

  Scenario Outline: No way of choosing a target passes its rate by
    # Guards trials, second copies, repeats and waiting requests, which choose targets in places of
    # their own.
    Given a node that may send its targets nothing for 10 s by the rates that they named
    When <what>
    Then no request is sent to these targets

    Examples:
      | what                                               |
      | a read arrives                                     |
      | a read arrives and an avoided target's trial is due |
      | a read at a target without a rate is overdue       |
      | a booking is refused by a target without a rate    |
      | a read waits and the targets become idle           |

  Scenario: A request that the rates leave no room for is refused at once
    # Guards callers from waiting for a permit that comes after their time.
    Given a node that may send its targets nothing for 10 s by the rates that they named
    When a read arrives
    Then it is refused as not run with result code 1212 and a time to come back of at least 10 s

  Scenario: A request waits for a permit that comes in time
    Given a node that may send its targets nothing for 0.1 s by the rates that they named
    When a read arrives and 0.2 s pass
    Then the read is sent once

  Scenario Outline: Policies that do not probe keep to rates and use permits that come later
    # Guards requests that wait where no answer of a target would ever end their wait.
    Given a node with the policy "<policy>" that may send its targets nothing for 0.1 s
    When a read arrives and 0.2 s pass
    Then the read is sent once, after 0.1 s

    Examples:
      | policy            |
      | adaptive          |
      | least_outstanding |

  Scenario Outline: What ends a rate
    Given a node whose target named a rate in a response to a <named>
    When a response to a <later> names none
    Then the rate is <state>

    Examples:
      | named   | later   | state    |
      | request | request | ended    |
      | request | probe   | in force |
      | probe   | probe   | ended    |

  Scenario: A rate outlives an absence of its target from the lists, and ends with the process
    # Guards statements against a store that loses sight of a target for a while.
    Given a node whose target named a rate in a response to a request
    When the target vanishes from the lists and comes back
    Then the rate is in force
    When another process takes the target's place
    Then the rate of the new process is ended

  Scenario Outline: Values of the header
    When a target sends the rates <values>
    Then the rate read is <rate> and <malformed> headers are counted as malformed

    Examples:
      | values                | rate | malformed |
      | 2.5                   | 2.5  | 0         |
      | 12                    | 12   | 0         |
      | 0                     | 0    | 0         |
      | -1                    | none | 1         |
      | 1e9                   | none | 1         |
      | inf                   | none | 1         |
      | nan                   | none | 1         |
      | 5, 7                  | none | 1         |
      | 10000000000           | none | 1         |
      | 5 and again 5         | none | 1         |
      | 5 and again x         | none | 1         |
      | x and again 5         | none | 1         |

  Scenario: A rate of 0 does not take a target out for good
    Given a node whose target named the rate 0
    Then it may send the target a request within 10 minutes

  Scenario: A larger fleet makes a node's part smaller
    # Guards a node that started with the least number of nodes and heard of the others later.
    Given a node whose target named a rate while it knew of 24 nodes
    When it hears of 240 nodes and the target names the rate again
    Then its permits come ten times less often

  Scenario Outline: A node adapts its parts once it hears of the other nodes
    # Guards a restarted node of a large fleet, which took the part of one node in 24 until the next
    # change of the lists.
    Then parts taken for <applied> nodes are <decision> when <known> nodes are known

    Examples:
      | applied | known | decision |
      | 24      | 218   | adapted  |
      | 218     | 216   | kept     |
      | 24      | 27    | adapted  |

  Scenario Outline: Few nodes use the whole of a rate, many nodes keep a distance to it
    # Guards callers of a service whose targets in need are most of it: with 0.7 of each rate used, one
    # request in eight was refused although the targets would have taken it.
    Then <nodes> nodes use between <least> and <most> of a rate of <rate> requests a second

    Examples:
      | nodes | rate | least | most |
      | 24    | 6.2  | 1.0   | 1.0  |
      | 24    | 2.5  | 0.6   | 0.9  |
      | 218   | 3.1  | 0.5   | 0.7  |
      | 218   | 30   | 0.9   | 1.0  |

  Scenario Outline: Second copies leave the room to first ones while targets name rates
    # Guards reads before a service in need: each second copy took the place of a read that waited.
    Given a node with a read at the first of 4 targets, of which the last <names> a rate
    When the read is overdue and its target <answers> probes
    Then the read was sent <count> times

    Examples:
      | names          | answers         | count |
      | names          | answers         | 1     |
      | does not name  | answers         | 2     |
      | names          | does not answer | 2     |
