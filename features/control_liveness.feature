Feature: Agents of the planned fleet hear of each other and ask no more than they need
  85 agents are above the 64 to which facts go directly, and each agent sends two digests a second.

  Scenario: One digest tells when all 84 other agents were heard from
    # Guards against a sample of 16 agents in digests: in a fleet of 85 live agents were suspected.
    Given an agent that heard from 84 others up to 7 s ago, seed 1
    When another agent that heard from all of them 20 s ago handles its digest
    Then the other agent knows for each of the 84 when it was heard from, at most 0.1 s older
    And it would suspect none of them

  Scenario: Passing on ages never makes a silent agent look alive
    # Guards against rounding that makes an age smaller with each hop.
    Given an agent that heard from 84 others up to 7 s ago, seed 2
    When its digest passes on through 30 agents without any time in between
    Then no agent was heard from later than the first one knew

  Scenario: A damaged or cut list of ages is taken as far as it goes
    Given an agent that heard from 84 others up to 7 s ago, seed 3
    Then every prefix of its ages is accepted, and unknown marks change nothing

  Scenario: A started agent fetches the list of VMs only once it is ready
    # Guards against a restart of many agents at once, in which each took every turn for its own.
    Given an agent that heard from 84 others up to 7 s ago, seed 4
    When 40 turns to fetch the list of VMs pass while it is not ready
    Then it has fetched no list
    When 85 turns pass while it is ready
    Then it has fetched the list once

  Scenario: A started agent takes the facts from one peer at a time
    # Guards against all facts of 5,300 targets arriving from each of a dozen peers.
    Given an agent that heard from 84 others up to 7 s ago, seed 5
    When digests of 12 peers that know other facts arrive within 0.3 s
    Then it compares facts with 1 of them

  Scenario: A fact reaches 64 peers at first hand and is passed on by each at second hand
    # Guards against facts that end with the peers that got them directly.
    Given an agent that heard from 84 others up to 7 s ago, seed 6
    When it learns from its entry that a target is leaving
    Then the fact goes to 64 different peers
    When another agent that heard from all of them 1 s ago receives it from a peer
    Then the fact goes to 3 different peers
    When it receives the same fact again
    Then the fact goes to 0 different peers
