Feature: The connections of a target are divided among the entries
  A target accepts 330 connections from all entries together; one entry needs two of them to keep a
  slot busy. Operators set labels and selectors only, so entries work out their parts themselves.

  Scenario: The planned fleet keeps two connections per entry without any setting
    # Guards against one connection per entry, with which every second request waits for room.
    Given a service with 15 targets and 1 selector in a fleet of 170 entries
    Then each entry has at least 2 connections to each of at least 13 targets
    And no target gets more than 330 connections in total

  Scenario: A fleet of today's size uses every target
    Given a service with 17 targets and 1 selector in a fleet of 24 entries
    Then each entry has at least 13 connections to each of at least 17 targets
    And no target gets more than 330 connections in total

  Scenario: More entries than a target accepts connections share the targets out
    # Guards against a minimum of one connection per entry to every target, 400 in total.
    Given a service with 15 targets and 1 selector in a fleet of 400 entries
    Then each entry has at least 2 connections to each of at least 6 targets
    And no target gets more than 330 connections in total

  Scenario: A smaller subset set by the operator brings more connections per target
    Given a service with 15 targets and 1 selector in a fleet of 170 entries
    And a subset size of 5
    Then each entry has at least 5 connections to each of at least 5 targets
    And no target gets more than 330 connections in total

  Scenario: Overlapping selectors, any fleet and any number of targets stay within the connections
    # Guards against a target that several selectors allow and that gets a share for each of them.
    Then for 60 drawn services with up to 4 overlapping selectors and 600 entries, seed 3, no target gets more than 330 connections in total
    And every caller that a selector allows reaches a target from every entry

  Scenario: A target that leaves gives its connections up and the others are divided anew
    Given a service with 15 targets and 1 selector in a fleet of 170 entries
    When one target starts to leave
    Then it keeps no connections, and no target gets more than 330 connections in total
