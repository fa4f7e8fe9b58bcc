Feature: An entry gives each request its own whole answer or a true refusal

  Scenario: Answers come back with their result code and target
    Given an entry before 2 stand-in targets
    When a caller reads "/slots" through the entry
    Then the entry's answer has status 200 and code 1000
    And the entry's answer carries the header "x-target"

  Scenario: Callers are denied by default
    Given an entry whose only selector allows callers with "kind=kiosk"
    Then a caller labelled "kind=kiosk" gets status 200 and code 1000 from the entry
    And a caller labelled "kind=phone" gets status 503 and code 1203 from the entry
    And a caller labelled "kind=kiosk,kind=kiosk" gets status 503 and code 1203 from the entry
    And a caller labelled "" gets status 503 and code 1203 from the entry

  Scenario: Labels from an untrusted source are dropped
    Given an entry that trusts no source and allows callers with "kind=kiosk"
    Then a caller labelled "kind=kiosk" gets status 503 and code 1203 from the entry

  Scenario: SIGTERM with a request in flight gives the whole answer and exit status 0
    Given an entry before 1 stand-in target with a service time of 800 ms
    When a caller's read is running at the target and the entry gets SIGTERM
    Then the entry's answer has status 200 and code 1000
    And the entry's answer is whole and closes the connection
    And the entry exits with status 0

  Scenario: A booking reset after it was sent is reported unknown and runs at most once
    Given an entry before 2 stand-in targets, the first behind the fault proxy
    When 20 bookings are made while the proxy resets every answer
    Then the entry reports an unknown outcome for every booking that met the proxy
    And no target's ledger shows a booking twice

  Scenario: A read whose connection is reset moves to another target
    Given an entry before 2 stand-in targets, the first behind the fault proxy
    When 8 reads are made while the proxy resets every answer
    Then every read is answered by the second target

  Scenario Outline: A truncated answer never reaches the caller as a complete one
    Given an entry before 1 stand-in target behind the fault proxy
    When the proxy truncates an answer of <bytes> bytes to a booking
    Then the caller gets no answer of the target that looks whole

    Examples:
      | bytes   |
      | 1000    |
      | 2000000 |

  Scenario: A late answer reaches nobody after its caller has left
    Given an entry before 1 stand-in target with a service time of 60 ms
    When 30 callers leave before their answers and 30 others ask at the same time
    Then each remaining caller of the entry has the answer to its own request

  Scenario: A leaving target gets no new work while its work in flight ends whole
    Given an entry before 2 stand-in targets
    When one target starts to drain during a steady load through the entry
    Then every answer of that load is whole with status 200
    And the leaving target got no request later than 2 s after it started to leave

  Scenario: An entry keeps serving without its agent and never goes back
    Given an entry before 1 stand-in target
    When its agent is replaced by one that holds an older revision
    Then the entry still serves the revision that it had applied
    And the entry reports revision 2 to the new agent

  Scenario: A bad object is reported and the last accepted one stays in force
    Given an entry before 1 stand-in target
    When the agent sends revision 2 with a selector that does not parse
    Then the entry reports the bad object with its reason
    And a caller labelled "" gets status 200 and code 1000 from the entry

  Scenario: An entry without a view is not ready and accepts no callers
    Given an entry whose agent has no view
    Then the readiness page of the entry answers 503
    And a caller's connection to the entry is refused

  Scenario: A second signal ends the drain and logs how many requests it cut
    Given an entry before 1 stand-in target with a service time of 1900 ms
    When two signals reach the entry while 3 reads run
    Then the entry logs 3 cut requests and exits with status 0

  Scenario: A booking is not written to a connection that its target has closed
    A busy entry reads a request before it sees the end of an idle connection; the outcome was unknown.
    Given an entry before 1 stand-in target
    When the target closes its connections after a booking reached the stopped entry
    Then that booking is answered with status 200 and was executed once

  Scenario: Planned restarts of an entry cut no request of a steady load
    Given an entry before 2 stand-in targets
    When the entry is replaced 3 times by one on the same port during a steady load
    Then every answer of that load is whole with status 200

  Scenario: A large answer to a slow reader is streamed in bounded memory
    Given an entry before 1 stand-in target
    When 8 callers ask for 16 MB each and read nothing until the entry holds back
    Then the entry's memory has grown by less than 20 MB
    And each of those callers receives its whole answer
    And further reads on the same target connections are answered

  Scenario: A traced request has one span per hop
    Given an entry that traces every request before a raw target
    When a caller sends a traceparent and the entry stops
    Then the raw target got a traceparent of the same trace with the entry's span
    And the span file holds that span with the caller's span as its parent

  Scenario: A deadline that passes after sending is unknown and closes the target's connection
    Given an entry before a raw target that never answers
    When a caller books with 200 ms left through the entry
    Then the entry's answer has status 504 and code 1301
    And the raw target's connection was closed

  Scenario: A hedged read is answered by the second target and cancelled at the first
    Given an entry before 2 stand-in targets that hedges reads
    When one target is 200 times slower and 40 reads go through the entry
    Then every read is answered within 300 ms
    And the entry counts hedges and cancelled reads at the slow target

  Scenario: A read that a higher level of its call chain hedges is not hedged again
    # Guards against hedges at each of 26 levels, which multiply the load of the last one.
    Given an entry before 2 stand-in targets that hedges reads
    When one target is 200 times slower and 40 reads that are hedged above go through it
    Then the entry has counted no hedges

  Scenario: A read that may be hedged tells lower levels of its call chain
    Given an entry that hedges reads before a raw target
    When a read and a booking go through the entry to the raw target
    Then the raw target got the hedge marker with the read only

  Scenario: A booking that one target refuses as not run is run once by another
    # Guards against a refusal that reaches the caller although another target could serve it, and
    # against a retry that runs a booking twice.
    Given an entry before 2 stand-in targets
    When target-1 sheds every request and 20 bookings go through the entry
    Then all 20 bookings are answered and each was run once, after at least 1 refusal

  Scenario: A full queue refuses as not run
    Given an entry before 1 slow target with 2 places in flight and a queue of 4
    When 12 bookings arrive at once
    Then at most 6 of them run, and the others are refused with code 1204

  Scenario: A stand-in target answers HEAD through the entry
    Given an entry before 1 stand-in target
    When a HEAD and then a read go through the entry
    Then both answers have status 200 and only the read has a body

  Scenario: A HEAD answer has its length and no body
    Given an entry before a raw target that answers HEAD with a length of 5
    When HEAD is asked twice on one connection to the entry
    Then both answers have a length of 5 and no body, on one target connection

  Scenario: A caller that sends requests and reads no answers is held back
    Given an entry before 1 stand-in target
    When a caller sends reads of 200 kB one after another and takes no answer
    Then the entry's memory has grown by less than 20 MB
    And the entry has stopped reading that caller's requests
