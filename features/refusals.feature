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

  Scenario Outline: A target's status that callers read as a refusal is not passed on unproven
    # Guards true refusals: a target that fails may answer so after it has run the booking.
    When a target answers a booking with <status> and a body of <size> bytes, and not that it did not run
    Then the booking's caller gets 502

    Examples:
      | status | size   |
      | 503    | 2      |
      | 429    | 2      |
      | 408    | 2      |
      | 503    | 300000 |

  Scenario: A booking is not sent on a connection on which it was refused, whatever came there since
    # Guards true refusals: a probe on the connection cleared the mark, and a second copy of the refusal
    # was taken for the answer to the booking's next attempt.
    Given a connection on which a target has refused a booking as not run
    When a probe is answered on that connection
    Then the booking is not sent on that connection again

  Scenario: No drawn run of the shell breaks a promise
    # Guards true refusals and at-most-once where effects, late timers, stops and preemptions meet.
    Then 150 drawn runs of the shell keep their promises
    And 60 drawn runs with targets whose refusals prove nothing keep their promises
