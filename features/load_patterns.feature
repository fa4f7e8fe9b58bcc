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

  Scenario: A burst in which each target known to be fast is full
    # Guards against requests sent on the word of an old report: the slowdown of a VM changes within
    # 150 ms, and in a burst a quarter of them started at a target that had become slow.
    Given a target seen idle 200 ms ago and one seen full just now
    When a read chooses between them in time to its aim
    Then the read waits for a probe
    When the targets cannot be probed
    Then the read goes to the target seen idle 200 ms ago

  Scenario: No target has told its load lately
    # Guards against waiting for reports that do not come, as behind a link that loses packets.
    Given two targets seen idle 200 ms ago
    When a read chooses between them in time to its aim
    Then it goes to one of them

  Scenario: The first probes of a burst find only slow targets
    # Guards against settling for a slow target after two rounds while others were never asked.
    Given a node with 12 targets of which the first 8 probed are slow
    When a read arrives and its probes are answered
    Then it goes to a fast target, after at most 6 rounds

  Scenario: A read that was sent while a probe of its own was still out, on a route of one attempt
    # Guards BUDGET: the end of the probe round was taken for that of a second copy, so a read that
    # had waited in the queue got one although its route allows a single attempt (trouble-1).
    Given a node with 4 full targets whose route allows 1 attempt and a read that waits and probes
    When one target has room and the read is sent to it
    And its probes are answered and 0.9 s pass
    Then the read was sent once

  Scenario: Callers that were refused or cut come back beside fresh ones
    # Guards the seconds after a loss of all nodes: a returning caller's latency objective counts
    # from its first attempt, but its request was taken for a fresh one and went ahead of those.
    Given a node whose callers have 2 s left at first
    When a read with 0.7 s left and one with 2 s left arrive
    Then the first counts as late, and the other has its whole latency objective

  Scenario: Callers whose deadlines differ by nature
    # Guards callers with short deadlines from being taken for returning ones for long.
    Given a node whose callers have between 0.5 s and 2 s left at first
    When 400 reads of them arrive
    Then at most 1 in 10 of the last 100 counts as under way

  Scenario: One caller states a very long deadline
    # Guards the others: their requests would all have counted as under way, and waited.
    Given a node whose callers have 2 s left at first
    When one of them states 600 s
    Then a read with 2 s left has its whole latency objective

  Scenario: A fleet that is full holds requests that can only be late
    # Guards fresh requests of other nodes: a late one took the last place of a target from them.
    Given a target with 1 of 2 usable places taken
    When a read that can only be late and a fresh one choose
    Then the late one waits and the fresh one goes there
    When the target is idle
    Then the late one goes there

  Scenario: A caller leaves while its request is written to a target
    # Guards against an unexpected error: the report of the sending found no attempt any more.
    Given a node with 2 targets whose read is cancelled before its sending is reported
    When the sending is reported
    Then nothing else happens

  Scenario Outline: Targets whose speed changes more or less often
    # Guards against a fixed age of load reports, which fits one duration of slowdowns only.
    Given targets whose speed is drawn anew every <interval> ms, one in four slow, and 3,000 reports
    Then a report counts as recent for between <least> and <most> ms

    Examples:
      | interval | least | most |
      | 30       | 1     | 15   |
      | 150      | 15    | 60   |
      | 1000     | 80    | 375  |
      | 10000    | 150   | 375  |

  Scenario: A target reports an absurd slowdown once
    # Guards the mean of all targets of the service, which one malformed report would have set.
    Given targets at their usual speed that sent 100 reports
    When one of them reports a slowdown of 1e300
    Then the slowdown expected of a target without a report stays below 3

  Scenario: An avoided target whose trial meets a slow moment of its VM
    # Guards targets that have recovered: three trials in a row fail by chance where a neighbour
    # slows a quarter of them, and each failure doubled the wait for the next.
    Given an avoided target that usually takes 120 ms
    When a trial takes 600 ms and the target reports a slowdown of 5
    Then the trial has passed
    When a trial takes 600 ms and the target reports no slowdown
    Then the trial has failed
