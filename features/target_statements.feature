Feature: What targets say about themselves in their answers
  A target that leaves, or that turns requests away for a time, binds the node that hears it.

  # Real processes: a node, and the stand-in for the platform's store and its targets.

  Scenario: A target that says that it leaves gets nothing new, also while the store is away
    # Guards DRAIN: the header of the platform was not read, so a node out of touch with the store went
    # on sending for as long as that lasted.
    Given a node with 2 targets of the service "reads" and 1 of "books"
    When the store is down
    And the target "reads-0" says "server-leaving" with "1" in all its answers
    And a caller sends 8 reads one after the other
    And the node has logged "target_leaving"
    And from now on a caller sends 12 reads one after the other
    Then every one of them is answered with status 200
    And none of them reached "reads-0"

  Scenario: An interim answer that says that its target leaves counts as any other
    Given a node with 1 targets of the service "reads" and 1 of "books"
    When the target "reads-0" says "server-leaving" with "1" in an interim answer
    And a caller sends "GET" "/views/1" with id "i1"
    Then the answer has status 200, the id "i1" and the signature of a target of "reads"
    When from now on a caller sends 2 reads one after the other
    Then every one of them is answered with status 503
    And none of them reached "reads-0"

  Scenario: A target that turns a request away for a time gets nothing until it is over
    # Guards BUDGET: the time that a target asks for was read nowhere, so it was tried again after 50 ms.
    Given a node with 2 targets of the service "reads" and 1 of "books"
    When the target "reads-0" turns requests away for 2 s
    And a caller sends 8 reads one after the other
    And the node has logged "target_paused"
    And from now on a caller sends 30 reads one after the other
    Then every one of them is answered with status 200
    And none of them reached "reads-0"
    When "reads-0" takes requests again and its time is over
    And a caller sends reads until one reaches "reads-0"
    Then the node has logged "target_pause_ended"

  Scenario: A service whose targets all turn requests away is refused at once, with the time
    Given a node with 1 targets of the service "reads" and 2 of "books"
    When every target of "books" turns requests away for 3 s
    And a caller sends "POST" "/bookings/1" with id "p1"
    And from now on a caller sends "POST" "/bookings/2" with id "p2"
    Then the answer has status 503 and a time to come back between 2 and 4 s
    And it came between 0.0 and 0.2 s after the request
    And the request "p2" ran on no target

  Scenario: All requests that a lone node sends to a limited target stay within its rate
    # Guards LIMIT on the wire, with the header as the platform names it.
    Given a node with 1 targets of the service "reads" and 1 of "books"
    When the target "reads-0" says "server-limit" with "2.5" in all its answers
    And a caller sends 60 reads one after the other
    Then at most 20 requests reached "reads-0" in any 4 s

  # Pure functions and reducers.

  Scenario Outline: Values of the headers
    When a target answers 503 with "<name>" of <values>
    Then the node reads <read> and counts <malformed> malformed headers

    Examples:
      | name        | values                        | read             | malformed |
      | x-leaving   | 1                             | leaving          | 0         |
      | x-leaving   | 0                             | nothing          | 1         |
      | x-leaving   | yes                           | nothing          | 1         |
      | x-leaving   | 1 and again 1                 | leaving          | 0         |
      | retry-after | 2                             | a pause of 2     | 0         |
      | retry-after | 0.25                          | a pause of 0.25  | 0         |
      | retry-after | 0                             | nothing          | 0         |
      | retry-after | -1                            | nothing          | 1         |
      | retry-after | 5e3                           | nothing          | 1         |
      | retry-after | soon                          | nothing          | 1         |
      | retry-after | Fri, 31 Dec 2027 23:59:59 GMT | nothing          | 1         |
      | retry-after | 1000000000                    | nothing          | 1         |
      | retry-after | 999999999                     | a pause of 600   | 0         |
      | retry-after | 3 and again 3                 | nothing          | 1         |

  Scenario Outline: Whatever answer says it, a statement binds when nothing else is left
    # Guards fallbacks that are used where no target is left.
    Given a node whose targets have all said that <statement> in <source>
    When <what>
    Then no request is sent to these targets
    And no probe is sent to these targets

    Examples:
      | statement                 | source     | what                                                |
      | they leave                | a response | a read arrives                                      |
      | they leave                | a probe    | a read arrives                                      |
      | they leave                | an interim | a read arrives                                      |
      | they leave                | a refusal  | a read arrives and an avoided target's trial is due |
      | they want nothing for 5 s | a refusal  | a read arrives                                      |
      | they want nothing for 5 s | a probe    | a read arrives                                      |
      | they want nothing for 5 s | an interim | a read arrives                                      |
      | they want nothing for 5 s | a refusal  | a read arrives and an avoided target's trial is due |

  Scenario Outline: Second copies, repeats and waiting requests keep to statements
    # Guards the places that choose another target beside the first one.
    Given a node of whose targets all but the first have said that <statement> in a refusal
    When <what>
    Then no request is sent to these targets
    And no probe is sent to these targets

    Examples:
      | statement                 | what                                                 |
      | they want nothing for 5 s | a read at a target without a statement is overdue    |
      | they leave                | a read at a target without a statement is overdue    |
      | they want nothing for 5 s | a booking is refused by a target without a statement |
      | they leave                | a booking is refused by a target without a statement |
      | they want nothing for 5 s | a read waits and the targets become idle             |
      | they leave                | a read waits and the targets become idle             |

  Scenario: Leaving outlives lists that still name the target as ready, and ends with the process
    Given a node whose targets have all said that they leave in a response
    When a list names them as ready and the directory is put in force
    And a read arrives
    Then no request is sent to these targets
    When other processes take their places and a read arrives
    Then a request is sent

  Scenario: A pause is not shortened by a later one, and is no failure of its target
    Given a node whose targets have all said that they want nothing for 5 s in a refusal
    When they say that they want nothing for 1 s in a refusal
    Then they may not be sent a request for at least 5 s and at most 5.5 s
    And none of them is suspected

  Scenario: After a pause a target gets one request at a time until it has taken one
    # Guards a target that returns from everything that waited for it.
    Given a node whose targets have all said that they want nothing for 0.1 s in a refusal
    When 0.2 s later 12 reads arrive
    Then each target has at most 1 request
    When one of them is answered
    Then that target may have more than 1 request

  Scenario: Two targets are left, one leaves and the other one wants nothing for a time
    Given a node with two targets of which one leaves and the other one wants nothing for 5 s
    When a read arrives
    Then it is refused as not run with result code 1213 and a time to come back of at least 5 s

  Scenario: A read is refused at once when its probes tell that no target wants it
    # Guards against a wait for targets that have just turned the node away.
    Given a node with two targets and a read that waits for their probes
    When both answer their probes with a refusal and a time of 5 s
    Then it is refused as not run with result code 1213 and a time to come back of at least 5 s
