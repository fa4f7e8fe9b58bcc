Feature: Decisions under the load patterns of heavy days
  Pure functions and reducers; no network, no clock, no process. Each scenario names its pattern.

  Scenario: Thin traffic before targets that slow down when full
    # Guards against filling the last slot for minutes: a node that sees four answers a second had
    # not learned within a burst that work in the last of three slots takes 1.7 times as long.
    Given targets of 3 slots and 4 answers at each place, the third 1.7 times slower
    Then at most 2 requests are sent to such a target
    And when nothing was observed for 120 s, the third slot is tried again

  Scenario: Nothing is known of the targets yet
    # Guards against giving up slots of targets that never slow down.
    Given targets of 3 slots and no answer yet
    Then at most 3 requests are sent to such a target

  Scenario: A busy and an idle target that are equally fast
    # Guards the first second after a start, in which a full target looked as good as an idle one.
    Given an idle target and one with 2 of 3 slots in use, both at pace 1
    When a read chooses between them before contention is known
    Then it goes to the idle one
