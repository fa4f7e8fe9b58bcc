Feature: The checkers of the bench catch what they are there for
  A checker that cannot fail would let every experiment pass.

  Scenario Outline: A variant that violates an invariant on purpose is caught
    Given a small experiment with a pass-through that is broken by "<broken>"
    When the bench runs it with seed 5
    Then the bench exits with status <status>
    And in its last line exactly the counters "<counters>" are above 0

    Examples:
      | broken        | status | counters      |
      |               | 0      |               |
      | repeat        | 1      | repeated      |
      | mix           | 1      | mixed         |
      | false_not_run | 1      | false_not_run |
      | cut           | 1      | cut           |

  Scenario Outline: A variant that goes on using a leaving target is caught
    Given a small experiment with a pass-through in which a target leaves by "<signal>"
    When the bench runs it with seed 5
    Then the bench exits with status 1
    And it names the signal "<signal>" and its last line gives more than 0.5 s for it

    Examples:
      | signal   |
      | list     |
      | answers  |
      | refusals |

  Scenario: An aim is missed when the ratio is above it or nothing measured it
    Then of p99 ratios 0.5 and 0.7 an aim of 0.6 is missed by the second only
    And an aim about a policy that did not run is missed

  Scenario: Probes above the budget are counted
    Then 3 probes within one second are 1 window over a budget of 1 per second
    And 2 probes within one second are no window over a budget of 1 per second

  Scenario: The lower bound serves a central queue first come first served
    Then arrivals at 0, 0, 0.5 with 1 s each on 1 slot take 1, 2 and 2.5 s
    And the same on 3 slots take 1 s each
