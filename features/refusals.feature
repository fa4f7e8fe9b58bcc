Feature: A request that was refused as not run never runs
  A node's shell with its real effects, on recorded connections, in virtual time.

  Scenario: A booking that a stopping node refuses in the turn that sends it reaches no target
    # Guards true refusals: timers that are due together sent a booking and refused it as not run.
    Given a stopping node with a booking that waits for room, and an idle connection to each target
    When a target has room, and the check of the queue and the booking's last refusal are due together
    Then the booking is refused as not run and no target has got it

  Scenario: A booking that a pause takes back in the middle of an event is not sent all the same
    # Guards true refusals and at-most-once: an effect raised an event that noticed the pause, and the
    # outer event went on to send what was taken back.
    Given a booking that waits for room behind a caller with two more, and an idle connection to each target
    When the first one's answer gives it room, and a pause is noticed while that answer is written
    And its deadline passes
    Then the booking that waited was sent at most once, and not at all if it was refused as not run

  Scenario: No drawn run of the shell breaks a promise
    # Guards true refusals and at-most-once where effects, late timers, stops and preemptions meet.
    Then 150 drawn runs of the shell keep their promises
