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
