Feature: Verdicts on targets spread between agents and come to rest
  Two verdicts of one entry that travelled by different ways replaced each other in the fleet
  without end, which cost agents up to 94% of a core.

  Scenario Outline: Alternating verdicts that overtake each other are passed on once each
    # Guards against notices that circulate without end, and against an old verdict that wins.
    Given 8 agents in one process whose messages arrive in random order with seed <seed>
    When an entry reports a target avoided, healthy, avoided and healthy again
    Then the messages end within 8 agents times 7 peers times 4 verdicts
    And every agent holds the last verdict

    Examples:
      | seed |
      | 1    |
      | 2    |
      | 3    |
