Feature: Detection of faulty targets from traffic
  Targets give no warning. Evidence comes from answers, from silence, and from other entries.

  Scenario Outline: A hidden fault is detected from few requests and healthy targets are not blamed
    A fault that stays unnoticed keeps its share of requests; a false verdict loses capacity.
    Given 17 targets that one entry has used for 20 seconds
    When the fault begins: one target <fault>
    Then it is avoided after at most <requests> of its requests
    And at most 1 other target is avoided at the same time

    Examples:
      | fault                               | requests |
      | becomes 10 times slower             | 5        |
      | fails at once                       | 4        |
      | leaves its requests without answers | 3        |

  Scenario: A surge that slows all targets is not blamed on some of them
    Avoiding a third of the targets during a surge would overload the others.
    Given 17 targets that one entry has used for 20 seconds
    When all targets become 4 times slower
    Then at most 2 targets are avoided at any time

  Scenario: Failures of all targets are not blamed on some of them
    Given 17 targets that one entry has used for 20 seconds
    When all targets fail at once
    Then at most 5 targets are avoided at any time

  Scenario: At most a third of the targets is avoided, whatever is observed
    Then for any observations at most a third of the targets is avoided

  Scenario: An avoided target gets few trials and returns in steps
    Many trials would cost callers; a return at once would send all entries to a cold target.
    Given 17 targets that one entry has used for 20 seconds
    And one target is avoided
    When the entry sends 100 requests a second for 60 seconds
    Then the avoided target gets at least 3 and at most 12 of them while it stays slow
    When the avoided target answers its trials in time
    Then its share grows in steps of an eighth, a quarter and a half within 2 seconds

  Scenario: An avoided target of a service that only takes bookings still gets trials
    It would otherwise never return, because bookings serve as trials only when nothing else does.
    Given 17 targets that one entry has used for 20 seconds
    And one target is avoided
    When the entry sends 100 bookings a second for 60 seconds
    Then the avoided target gets at least 2 and at most 6 of them while it stays slow

  Scenario: Verdicts of peers lower the threshold but decide nothing alone
    One entry with a faulty network must not make all others avoid healthy targets.
    Given 17 targets that one entry has used for 20 seconds
    When 10 peers call a target avoided
    Then the target of these steps is not avoided
    And good answers of the target cancel what the peers said
    But with the peers' verdict one request without an answer is enough to avoid it
    And with the verdicts of two peers one failure is enough to avoid another target

  Scenario Outline: An entry tells peers of a faulty target unless two of them have said so
    Guards against 18 to 23 messages to the whole fleet per faulty target, one of each entry.
    Given 17 targets that one entry has used for 20 seconds
    When <peers> peers call a target avoided and it fails 4 requests
    Then the target is avoided and <told>

    Examples:
      | peers | told               |
      | 0     | peers are told     |
      | 1     | peers are told     |
      | 2     | peers are not told |

  Scenario Outline: A read that fails at a target which peers found faulty is sent elsewhere
    With 24 entries a target that failed at once gave every caller of a first failure an error.
    Given an entry that has sent a <method> to one of 3 targets
    And <peers> peers call that target avoided
    When that target answers with status 500
    Then the request is <outcome>

    Examples:
      | method | peers | outcome                   |
      | GET    | 2     | sent to another target    |
      | GET    | 0     | answered with the failure |
      | POST   | 2     | answered with the failure |

  Scenario: A frozen report and one that does not fit the latency are not believed
    A target that always reports no load would attract requests until it is far slower.
    Given 17 targets that one entry has used for 20 seconds
    When one target reports 0 requests in flight in 20 answers
    Then its reports are not believed
    When one target answers 3 times slower and reports less load than the others
    Then its reports are not believed

  Scenario: A report below the entry's own outstanding requests is not believed
    A target that always reports no load attracted requests from 24 entries until each had 16 answers.
    Given 17 targets that one entry has used for 20 seconds
    When one target reports 1 request in flight while 2 of this entry have long been there
    Then its reports are not believed
    When it reports 2 requests in flight instead
    Then its reports are believed

  Scenario: A target that sheds is paused, longer each time, and is not called faulty
    Given 17 targets that one entry has used for 20 seconds
    When one target refuses 3 requests as not run
    Then it is chosen for no request during the next 150 ms
    And the target of these steps is not avoided

  Scenario: A target that refuses connections is paused when no more targets may be avoided
    Requests went on failing at a sixth target without a listener until the retry budget was used up.
    Given 17 targets that one entry has used for 20 seconds
    When 5 other targets are avoided and one target refuses 3 connections
    Then it is chosen for no request during the next 150 ms
    And the target of these steps is not avoided

  Scenario: A cancelled request counts as slow
    A hedge that wins would otherwise hide the slow target for ever.
    Given 17 targets that one entry has used for 20 seconds
    When 2 requests to one target are cancelled after 10 service times
    Then the target of these steps is avoided

  Scenario: A target that joins a running service or restarts gets a growing share
    24 entries that send a cold target its full share at once would keep it slow.
    Given an entry whose service runs on 3 targets, one of which is leaving
    When a fourth target is configured and the first one returns from a restart
    Then both are ramped up, the others keep their share, and nothing old is held against them

  Scenario Outline: A target that restarted without having said that it leaves is judged anew
    A target whose connections closed is avoided; its trials alone would return it only in seconds.
    Given an entry whose service runs on 3 targets and that <heard> of their incarnations
    And the first one is avoided because it refused connections
    When the first one returns from a restart
    Then it is ramped up, and nothing old is held against it

    Examples:
      | heard         |
      | heard         |
      | did not hear  |
