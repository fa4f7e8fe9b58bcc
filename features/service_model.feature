Feature: A model of one service in virtual time
  The real reducers before modelled targets: many interleavings of answers, refusals and timers.

  Scenario Outline: A booking runs at most once, and one that was refused as not run never ran
    # Guards at-most-once and true refusals under load, for policies that probe and that do not.
    When bookings are played with the policy "<policy>" under "<pattern>" with seeds 1 to 3
    Then no booking ran more than once
    And no booking that was refused as not run ran

    Examples:
      | policy            | pattern     |
      | measured          | burst       |
      | measured          | shedding    |
      | measured          | hidden-slow |
      | adaptive          | burst       |
      | adaptive          | shedding    |
      | least_outstanding | third-lost  |

  Scenario: A read may run more than once, which the model sees
    # Shows that the check above finds a repeat.
    When reads are played with the policy "measured" under "hidden-slow" with seeds 1 to 1
    Then some of them ran more than once

  Scenario: Every request ends exactly once
    When reads are played with the policy "measured" under "burst" with seeds 1 to 2
    Then each request was answered, refused or failed, once

  Scenario Outline: A target that was avoided during a fault gets its share of requests again
    # Guards capacity after a fault: targets that a node avoided were never tried again by it.
    When reads are played whole with the policy "measured" under "<pattern>" with seeds 1 to 5
    Then from 5 s after the fault each of its targets begins at least half of an even share
    And during the fault these targets begin at most half of an even share on average

    Examples:
      | pattern           |
      | failing-then-well |
      | slow-then-well    |

  Scenario: One seed gives one result
    Then two runs of "neighbours" with seed 5 give the same counts

  Scenario: Probing before the choice answers more reads in time than reports on answers
    # Guards the reason for the probes: targets whose pace changes faster than answers come.
    When reads are played with the policy "measured" under "neighbours" with seeds 1 to 1
    And reads are played with the policy "adaptive" under "neighbours" with seeds 1 to 1
    Then the first missed its aim at most half as often as the second
