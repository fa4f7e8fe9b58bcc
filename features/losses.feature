Feature: What was lost, from the logs of the nodes
  On-call engineers have only logs; the report says which requests were lost, when and why.

  Scenario: Recorded lines are counted by second, route and cause
    # Guards the sums: a request that was repeated, denied and refused counts once.
    Given these log lines
      """
      time=2026-07-04T19:51:58.139+00:00 event=request_refused id=a1 route=reads age_ms=301 left_ms=699 code=1211 result=overloaded status=503 process=n1
      time=2026-07-04T19:51:58.140+00:00 event=request_refused id=a2 route=reads age_ms=0 left_ms=72 code=1205 result=deadline_unmeetable process=n1
      time=2026-07-04T19:51:58.200+00:00 event=request_repeated id=a3 route=reads result=outcome_unknown process=n1
      time=2026-07-04T19:51:58.300+00:00 event=repeat_denied id=a3 route=reads result=outcome_unknown process=n1
      time=2026-07-04T19:51:58.301+00:00 event=request_refused id=a3 route=reads age_ms=90 code=1300 result=outcome_unknown process=n1
      time=2026-07-04T19:51:58.400+00:00 event=request_late id=a4 route=books age_ms=667 sent_ms=421 pace=5 there=1 report_ms=114 process=n2
      time=2026-07-04T19:51:59.100+00:00 event=request_late id=a5 route=books age_ms=343 sent_ms=342 pace=1 there=0 report_ms=474 process=n2
      time=2026-07-04T19:51:59.200+00:00 event=request_late id=a6 route=books age_ms=317 sent_ms=317 pace=1 there=2 report_ms=1 process=n2
      time=2026-07-04T19:51:59.300+00:00 event=request_failed id=a7 route=books age_ms=1200 status=504 process=n2
      time=2026-07-04T19:51:59.400+00:00 event=request_answered id=a8 route=books age_ms=90 process=n2
      time=2026-07-04T19:51:59.500+00:00 event=lines_dropped count=3 process=n2
      time=2026-07-04T19:51:59.600+00:00 event=request_refused id=a9 route=reads age_ms= code=
      time=2026-07-04T19:51:59.700+00:00 event=request_refused id=b1 route=reads age_ms=0 code=1214 result=quarantined process=n2
      time=2026-07-04T19:51:59.800+00:00 event=request_refused id=b2 route=reads age_ms=83 code=1304 result=crashes_targets process=n2
      """
    Then 13 requests are lost, of them
      | second              | route | cause                                | count |
      | 2026-07-04T19:51:58 | reads | refused after a wait                 | 1     |
      | 2026-07-04T19:51:58 | reads | refused on arrival                   | 1     |
      | 2026-07-04T19:51:58 | reads | no budget for a repeat               | 1     |
      | 2026-07-04T19:51:58 | books | late: waited in the queue            | 1     |
      | 2026-07-04T19:51:59 | books | late: target chosen by an old report | 1     |
      | 2026-07-04T19:51:59 | books | late: busy target                    | 1     |
      | 2026-07-04T19:51:59 | books | failed at its target                 | 1     |
      | 2026-07-04T19:51:59 | reads | refused: in quarantine               | 1     |
      | 2026-07-04T19:51:59 | reads | crashed its targets                  | 1     |
      | 2026-07-04T19:51:59 | -     | not attributed                       | 3     |
      | 2026-07-04T19:51:59 | reads | not attributed                       | 1     |

  Scenario: The command reads files and names one that cannot be read
    Given these log lines
      """
      time=2026-07-04T19:51:58.139+00:00 event=request_refused id=a1 route=reads age_ms=301 code=1211 process=n1
      """
    When poplarctl losses reads them as a file
    Then it ends with status 0 and says "1 requests lost"
    When poplarctl losses reads a file that is not there
    Then it ends with status 2 and says "No such file"
