Feature: A request that crashes its targets is not sent again
  Event sequences of one node, without a network. Without the quarantine each repeat of such a
  request ends another target.

  Scenario: Two crashes convict a request, and its repeats are refused
    # Guards against reads that end a service: 42 sends followed after the third crash.
    Given a node with 8 targets
    When a deadly read is sent and its target crashes
    Then the read is at work at another target before the check has ended
    When the check has ended and the second target crashes
    Then the read waits for the check of the second target
    When the second target is found to be gone
    Then the read got 1304 with status 502
    And a repeat gets 1214 with status 503 and a time to come back of 30 s
    And a read with other content is sent
    And the conviction is logged with both targets and told to the other nodes at once

  Scenario: A target that resets connections and lives convicts nobody
    # Guards against convictions by targets that are full.
    Given a node with 8 targets
    When a deadly read is sent and two targets reset it without having crashed
    Then the read got 1300 with status 502
    And a repeat is sent

  Scenario: A check of a full target sends no more than the one probe that was allowed
    # Guards full targets against probes beyond their allowance, at each request that they reset.
    Given a target that accepts connections and resets them
    When its process is checked
    Then it is not gone, and got 1 probe

  Scenario: A target that leaves has not crashed
    Given a node with 8 targets
    When a read is at work at a target that announces to leave and closes
    Then no process is checked

  Scenario: A convicted request that waits in a queue is refused there
    Given a node with 2 targets that are full
    When a deadly read waits in the queue and other nodes convict it
    Then the read got 1214 with status 503
    And nothing is sent when the targets have room again

  Scenario: A convicted request that waits for probes is refused there
    Given a node with 8 targets
    When a deadly read waits for its probes and other nodes convict it
    Then the read got 1214 with status 503

  Scenario: A convicted request that is at work at three targets at once ends everywhere
    # Guards against a third crash by a copy whose end was known to be due.
    Given a node with 8 targets
    When three copies of a deadly read are at work and two of their targets crash
    Then all copies got 1304 with status 502
    And nothing of them is at work
    And no more than 3 targets ever got it

  Scenario: A hedge counts as a run of its own, and a suspect is not hedged
    Given a node with 8 targets
    When a deadly read is hedged and both its targets crash
    Then the read got 1304 with status 502
    Given a node with 8 targets
    When a deadly read has crashed one target and is late at the second
    Then it is not hedged

  Scenario: A request that is not idempotent is never sent again, but counts
    Given a node with 8 targets
    When a write crashes its target
    Then the write was sent once and got 1300
    When the write is repeated and crashes its target
    Then the write was sent once and got 1304

  Scenario: A request that was answered after a crash is innocent of it
    # Guards against convictions of popular reads, which are often beside a crash.
    Given a node with 8 targets
    When a read beside a crash is answered by the next target and is beside another crash
    Then the read is not in quarantine

  Scenario Outline: A response that does not show a run acquits nobody
    # Guards against targets that turn a deadly read away, which would let it go on.
    Given a node with 8 targets
    When a deadly read crashes a target, gets <status> and crashes another one
    Then the read is in quarantine for 30 s

    Examples:
      | status |
      | 429    |
      | 500    |
      | 503    |

  Scenario: Three crashes in a short time convict in spite of answers
    # Guards against a request that crashes only some targets and is answered by the others.
    Given a node with 8 targets
    When a read crashes three targets and is answered by others in between
    Then a repeat gets 1214 with status 503 and a time to come back of 2 s

  Scenario: After the term one attempt at a time is tried, and a crash doubles the term
    Given a node with 8 targets
    When a deadly read is convicted and 31 s pass
    And three copies arrive
    Then one copy is at work, and the others are refused with 1214 after 0.5 s
    When the target of the trial crashes
    Then the conviction has a term of 60 s

  Scenario Outline: A write that waits for its trial is sent once, though its targets are full
    # Guards against a write that ran twice: it was in the queue already when its trial started.
    Given a node with 2 targets and the policy <policy>
    When a write is convicted, its term ends and it arrives while all targets are full
    And the targets have room again
    Then only one copy of the write was sent, and only once

    Examples:
      | policy            |
      | adaptive          |
      | least_outstanding |
      | measured          |

  Scenario: An answer in the trial ends the quarantine
    Given a node with 8 targets
    When a deadly read is convicted and 31 s pass
    And the trial is answered
    Then the end of the quarantine is logged and a repeat is sent

  Scenario: Copies that wait are sent once the trial is answered
    # Guards against refusals of an innocent read 0.5 s after its innocence was shown.
    Given a node with 8 targets
    When a deadly read is convicted and 31 s pass
    And three copies arrive
    And the copy on trial is answered
    Then the other two copies are at work

  Scenario: Copies that wait are sent once another node has been answered
    Given a node with 8 targets that asks the root for trials
    When a deadly read is convicted and 31 s pass
    And three copies arrive
    And the root says that the read was answered
    Then all three copies are at work

  Scenario: Callers that leave while they wait for a trial take no memory
    # Guards memory: the numbers of their requests were kept until a trial began.
    Given a node with 8 targets that asks the root for trials
    When a deadly read is convicted and 31 s pass
    And 200 callers send a copy and leave one after the other
    Then at most 1 of their requests is remembered

  Scenario: The crash of a convicted request is not held against its target
    Given a node with 8 targets
    When a deadly read is convicted by two crashes
    Then the second target has no failure, and the first one has

  Scenario: Without a crash no digest is computed
    # Guards the cost of a request, which must not grow while there is no evidence.
    Given a node with 8 targets
    When 50 reads are answered
    Then no digest was computed

  Scenario Outline: A malformed payload of another node changes nothing
    Given a node with 8 targets
    When it gets a <kind> payload
    Then the payload is refused as malformed and nothing is known

    Examples:
      | kind          |
      | random        |
      | short digest  |
      | negative age  |
      | too old       |
      | many targets  |
      | many items    |
      | number        |
      | wrong grant   |

  Scenario: A flood of evidence keeps the convictions and stays within a message
    # Guards against a caller that fills the list to push out what is in force.
    Given a node with 8 targets
    When a deadly read is convicted and 2000 others are each beside one crash
    Then at most 256 items are held, in at most 16384 bytes, and the deadly one is among them

  Scenario Outline: Trials and a flood of evidence fit into one message
    # Guards against a payload that the exchange drops whole, with the evidence and the trials.
    Given a node with 8 targets that asks the root for trials
    When 256 reads are each beside one crash and nodes with long names ask for 32 trials
    Then the <payload> has at most 16384 bytes and all asks or trials

    Examples:
      | payload |
      | report  |
      | digest  |

  Scenario: False convictions are rare and short
    # Seeded; prints what was found. An innocent read is convicted if its retry meets the deadly one.
    Then of 600 reads beside crashes at most 40 are convicted wrongly, each for at most 2 s

  # Over the exchange.

  Scenario Outline: Evidence of several nodes convicts at all nodes
    Given <nodes> nodes that exchange evidence, with <faults> messages
    When two nodes each see one crash of the same read
    Then all nodes hold the conviction within <time> s

    Examples:
      | nodes | faults   | time |
      | 24    | good     | 0.2  |
      | 24    | repeated | 0.2  |
      | 24    | delayed  | 2.0  |
      | 24    | lost     | 4.0  |
      | 60    | lost     | 4.0  |

  Scenario: Repeated reports in any order lead to one view
    # Guards against nodes that keep different convictions for the same evidence.
    Then for 300 seeds nodes that hear each other in any order agree about a read

  Scenario: An answer that a child reports does not use up the least interval between messages
    # Guards against evidence that came 20 ms late because an acquittal had just been sent on.
    Given a node with 8 targets
    When a child reports a crash, and then an answer after it
    Then the crash is urgent and the answer is not

  Scenario: A node that starts learns what is in force
    Given 24 nodes that exchange evidence, with good messages
    When a read is convicted and a node forgets everything
    Then that node holds the conviction within 0.5 s

  Scenario: The root hands a trial to one node only
    # Guards against many nodes that try the same request at once after its term.
    Given 24 nodes that exchange evidence, with repeated messages
    When a conviction has expired and a copy arrives at each of 10 nodes
    Then one node has sent one copy
    When the root ends and a copy arrives at each of 10 other nodes within the lease
    Then no further copy has been sent

  Scenario: A doubtful conviction is tried when its term of 2 s ends
    # Guards against a first root that waits for trials which no earlier root can have allowed.
    Given 24 nodes that exchange evidence, with good messages
    When two reads share their crashes and copies of one arrive from the end of the term on
    Then a copy is at work within 0.5 s

  Scenario Outline: The exchange ends after the evidence
    # Guards against nodes without requests that report old evidence to each other for ever.
    Given 24 nodes that exchange evidence, with <faults> messages
    When one node sees a crash and 20 seconds pass
    Then no node holds evidence, and none sends any more

    Examples:
      | faults   |
      | good     |
      | repeated |
      | delayed  |
      | lost     |
