Feature: All VMs together keep to the probe budget of a service
  Every probe costs a small target several milliseconds. Two holders of one budget, or a burst after
  a pause, would slow down the requests that the probes are meant to protect.

  Scenario: The budget holds across a paused holder, restarts, an outage, lost answers and new VMs
    # Guards against a lease that its holder believes in after it has lapsed, and against bursts.
    Given a probing fleet of 4 agents, 2 spare VMs and a target that refuses probes
    And at most 4 probes per second per target are allowed
    When the holder of the probe grant is stopped until another agent has it, and continues
    And the new holder is killed and started again
    And the platform is unavailable for longer than a grant and then loses 3 answers
    And two more agents join
    Then the refusing target got probes in every phase
    But no probe arrived while the platform was unavailable after the grant had ended
    And in no window did a target get more probes than the budget allows

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

  Scenario: Simulated processes that all believe to be first choice never exceed the budget
    # Guards against orders of events that real processes reach rarely: writes that take effect
    # after their caller gave up, pauses between a check and its act, probes that arrive late.
    Given simulated agents with pauses, slow and lost calls, outages and restarts
    When each of 60 seeds runs for 90 simulated seconds
    Then two probes never arrive closer together than the budget allows
    And the target was probed under several grants
