Feature: A deadly request ends at most three processes
  Real processes: two nodes that exchange evidence, and four targets that exit 40 ms after they got
  a deadly request. Without the quarantine all four end.

  Scenario: Repeats at both nodes end at most three of four targets, and other reads go on
    Given two nodes and four targets that exit when they get a deadly read
    When 4 callers send the deadly read and repeat it up to twice at another node
    # Within 2 s, in case another read was beside both crashes, which makes the conviction short.
    Then a further deadly read is refused with 503 and code quarantined at both nodes
    And pipelined deadly reads are refused in their turn, and a read between them is answered
    And the metrics of the nodes count the quarantine
    And poplarctl quarantine shows the request and its targets at both nodes
    When other reads are sent all the time
    Then at most 3 targets have ended
    And at least 95 of 100 other reads that were sent after the last crash are answered
