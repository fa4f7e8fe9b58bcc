Feature: A halt of the node is not time that its targets took
  A process that was stopped finds the answers in its sockets when it goes on. Counted as latency, the
  halt made admission refuse a kind of request for good, so that no answer could correct it.

  Scenario Outline: A halt changes no estimate and no verdict
    Given a node with 4 targets and 8 reads that are answered in 0.1 s each
    When the node halts for <halt> s while 4 reads are at their targets, <times> times
    Then its service time, latencies, contention and verdicts are those of before
    And a read with 3.0 s is admitted

    Examples:
      | halt | times |
      | 0.4  | 3     |
      | 2.0  | 5     |
      | 6.0  | 5     |

  Scenario: A probe that a halt delays is not a failure of its target
    Given a node with 4 targets and 8 reads that are answered in 0.1 s each
    When the node halts for 1.2 s while targets are probed
    Then no target is paused, and the probes are answered after it

  Scenario: A service time that shuts out every read is corrected by reads that are admitted all the same
    Given a node with 4 targets and 8 reads that are answered in 0.1 s each
    When the service time of the reads is taken to be 8.0 s
    Then of reads with 3.0 s that arrive each 0.1 s one in 1.0 s to 6.2 s is admitted
    And once it is answered in 0.1 s the next reads are admitted

  Scenario: A read whose own time is short is refused at once
    # Guards against doomed requests at the targets: only a kind that is shut out is let through.
    Given a node with 4 targets and 8 reads that are answered in 0.1 s each
    When the service time of the reads is taken to be 0.5 s
    Then reads with 0.3 s that arrive each 0.1 s for 10 s are refused

  Scenario Outline: What shuts a target or a service out ends without an answer from it
    Given a node with 4 targets and 8 reads that are answered in 0.1 s each
    When <gate> shuts out every read
    Then a read finds a target again within <limit> s

    Examples:
      | gate                            | limit |
      | the lowest latency of 30 s      | 1.1   |
      | a failed connection             | 1.1   |
      | a refusal                       | 1.1   |
      | a pause named by each target    | 662.0 |
      | a rate of 0 named by each       | 480.0 |
      | a verdict on each target        | 10.1  |
      | contention seen at each target  | 0.1   |
      | a slowdown of 1000 seen at each | 0.1   |

  Scenario: Stops in series of a real node lose no kind of request
    Given a real node with targets of reads that take 0.1 s
    When it is stopped 6 times for 2 to 3 s while callers send reads, and goes on
    Then the reads of the 2 s after that are answered with status 200
