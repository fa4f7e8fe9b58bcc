Feature: Many operators' changes through faults are neither lost nor repeated
  Races, lost answers, stale reads and outages are rare one by one; together they show orders of
  events that no single scenario thinks of.

  Scenario: 600 random label changes by 6 operators with seed 11
    Given a platform for a soak with 300 writes per second and seed 11
    And a share of 0.1 of its write answers is lost
    When 6 operators make 600 random label changes with seed 11 while reads turn stale and outages come
    Then every change ended as done, as a conflict or as the removal of an absent label
    And at least 450 changes are done and at least 20 answers were lost
    And no operator got a conflict about a label that only that operator changes
    And each done change has one revision, and no other change has any
    And replaying the done changes by revision gives the stored labels
    And the copy was never more than one revision behind and is equal at the end
