Feature: Agents agree on members without a coordinator
  Facts travel late, twice and out of order. A target that leaves must get no new work anywhere
  within 2 s, and an agent with a broken network must not eject the healthy rest.

  Scenario: Facts about members merge in any order
    # Guards against VMs that end up with different views after the same messages.
    Given random facts about members from several sources
    Then merging them is commutative, associative and idempotent
    And leaving is never undone within an incarnation

  Scenario: Every entry hears of a leaving target within 2 s, whichever signal came first
    # Guards against work sent to a target that another VM already knows to leave.
    Given a membership fleet of 6 agents with entries and 3 targets in 2 data centres
    And 20 percent of the membership messages are lost
    When the first target is leaving in the platform's list of VMs
    Then every entry marks the first target as leaving within 2 s of the first agent
    When the second target announces in its answers that it is leaving to one entry
    Then every entry marks the second target as leaving within 2 s of the first agent
    When the platform is unavailable and the third target tells a probe that it is leaving
    Then every entry marks the third target as leaving within 2 s of the first agent

  Scenario: Regions that lose each other keep serving and converge afterwards
    # Guards against a mass ejection by the side that is cut off, and against lasting divergence.
    Given a membership fleet of 6 agents with entries and 1 targets in 2 data centres
    And a membership service is in force at revision 1
    When the second data centre loses the first one and the platform
    Then its agents suspect their own network and stay ready
    When revision 2 of the membership service is accepted and the regions meet again
    Then revision 2 of the membership service is in force at every entry within 4 s
    And no agent declared another one suspect or gone

  Scenario: A restart of most of the fleet is no stampede on the platform
    # Guards against every new process listing all objects at the same moment.
    Given a membership fleet of 8 agents without entries and 1 targets in 2 data centres
    And a membership service is in force at revision 1
    When 6 agents are asked to stop at once and started again
    Then they ended with status 0 and told the others that they leave
    And all agents are ready again with revision 1 and made at most 12 lists together
