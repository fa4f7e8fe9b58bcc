Feature: Load balancing decisions
  Wrong decisions send requests to slow, full or failing targets, or all entries to the same one.

  Scenario Outline: Every policy chooses a candidate and spreads ties
    A policy that prefers one of several equal targets would overload it.
    Given <count> equal targets known to the policy "<policy>"
    When it chooses 6000 times with seeded draws
    Then every choice is a candidate
    And no target is chosen more than 1.3 times its even share

    Examples:
      | policy            | count |
      | random            | 17    |
      | round_robin       | 17    |
      | least_outstanding | 17    |
      | power_of_two      | 17    |
      | probe_pool        | 17    |
      | adaptive          | 17    |
      | adaptive          | 6     |

  Scenario: Entries that hold the same stale reports do not choose the same target
    A target that looked idle a while ago would otherwise get the next request of all 24 entries.
    Given 24 entries whose reports say that one of 17 targets was idle 10 service times ago
    When each entry chooses for one request
    Then the idle-looking target is chosen by at most 5 of the 24 entries

  Scenario: An idle-looking target gets no more than its part from one entry
    Own requests since the last report must count, or one entry fills the target before it answers.
    Given an entry with a fresh report that one of 17 targets is idle and the others hold 4 requests
    When the entry sends 8 requests before any answer
    Then the idle-looking target gets at least 2 and at most 5 of them

  Scenario: The near data centre is preferred only while it is not the slower choice
    A fixed preference would let requests wait for a slot while distant targets are idle.
    Given near targets and targets 1 ms away, both with 2 requests in flight
    Then the adaptive policy chooses a near target
    When the near targets report 7 requests in flight
    Then the adaptive policy chooses a distant target

  Scenario: A probe result that all entries share attracts no herd
    Given 24 entries that hear of a probe which found one of 17 targets idle
    When each entry chooses for one request
    Then the idle-looking target is chosen by at most 5 of the 24 entries

  Scenario: Subsets are even over entries and data centres
    Uneven subsets would overload the targets that more entries share, at any load.
    Then for any number of targets, entries and any subset size, targets differ by at most one entry
    And no entry's subset prefers a data centre
    And an entry that is replaced changes at most 1 target of each other entry's subset

  Scenario: Reports that prove too stale are followed by few requests only
    All entries follow equally late reports; what each of them sees is targets that are far more
    unevenly loaded than chance makes them.
    Given the adaptive policy and 17 targets whose reports alternate between 0 and 10 for 10 seconds
    Then a target that reports 0 alone gets at most a third of the choices
    And it gets at most a tenth once the reports are half a service time old
    When the reports stay between 2 and 4 for 10 seconds
    Then a target that reports 0 alone gets more than nine in ten of the choices
