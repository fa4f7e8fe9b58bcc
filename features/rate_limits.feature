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
