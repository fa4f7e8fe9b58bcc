Feature: Probe results are shared, and the rules of the budget hold in rare orders of events
  The holder of a grant probes for the whole fleet; what it learns is of use only where callers are
  served, and rare orders of events need many more runs than real processes allow.

  Scenario: Probe results and unreachable targets reach the entries of other VMs
    # Guards against results that stay at the holder: the others would probe or guess instead.
    Given a probing fleet of 3 agents, 0 spare VMs and a target that refuses probes
    And at most 4 probes per second per target are allowed
    Then a listener in place of an entry hears of the refusing target at every VM

  Scenario: Without a budget no probe is sent
    # Guards against a default that probes targets whose operator never allowed it.
    Given a probing fleet of 2 agents, 0 spare VMs and a target that refuses probes
    And one service has no budget and another one allows 4 probes per second
    When 5 probes for the second service have arrived
    Then no probe for the first service has arrived

  Scenario: Contending processes that all believe to be first choice never exceed the budget
    # Guards against orders of events that real processes reach rarely: writes that take effect
    # after their caller gave up, pauses between a check and its act, probes that arrive late.
    Given contending agents with pauses, slow and lost calls, outages and restarts
    When each of 60 seeds runs for 90 seconds of virtual time
    Then two probes never arrive closer together than the budget allows
    And the target was probed under several grants

  Scenario: What a paused or replaced process sends late is refused
    # Guards against results of a lapsed grant, and messages of a predecessor of the same name.
    Given an agent that heard of a grant with term 5 from a peer with incarnation 9
    When results with terms 5, 4 and 6 arrive and then a message of incarnation 8
    Then only the results with terms 5 and 6 are passed on
    And the message of incarnation 8 changes nothing
