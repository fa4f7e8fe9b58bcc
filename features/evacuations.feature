Feature: Data centres that operators evacuate
  Event sequences without a network, except for the last scenario.

  Scenario Outline: No request reaches an evacuated data centre by any way
    # Guards first attempts, trials, hedges, retries, queued requests and choices after probes.
    Given a node with 2 targets in "dc-a" and 2 in "dc-b"
    When <what> while "dc-b" is evacuated
    Then no request was sent to "dc-b" after that

    Examples:
      | what                                            |
      | a read arrives                                  |
      | a read arrives and a trial in "dc-b" is due     |
      | a read in "dc-a" is overdue                     |
      | a booking is refused in "dc-a"                  |
      | a read waits for room in "dc-a"                 |
      | a read waits for probes of all targets          |

  Scenario: Requests in flight are finished
    # Guards callers whose request runs in the data centre at that moment.
    Given a node with 1 targets in "dc-a" and 1 in "dc-b"
    When a read runs in "dc-b", "dc-b" is evacuated and the read is answered
    Then its caller gets the answer

  Scenario: The end of an evacuation
    Given a node with 0 targets in "dc-a" and 2 in "dc-b"
    When "dc-b" is evacuated
    Then a read is refused at once as not run with result code 1202
    And the log has "evacuation_started" and "evacuation_leaves_no_target"
    When the evacuation of "dc-b" ends
    Then a read is sent to "dc-b"
    And the log has "evacuation_ended"

  Scenario: Requests that wait while the last data centre is evacuated
    # Guards callers from waiting for targets that do not come back in time.
    Given a node with 0 targets in "dc-a" and 2 in "dc-b"
    When a read waits for room and "dc-b" is evacuated
    Then the waiting read is refused at once as not run

  Scenario: Two data centres at once
    Given a node with 1 targets in "dc-a" and 1 in "dc-b"
    When "dc-a" and "dc-b" are evacuated, and then the evacuation of "dc-a" ends
    Then a read is sent to "dc-a"

  Scenario Outline: Names that are no data centre change nothing
    # Guards against hostile and mistaken names.
    Given a node with 1 targets in "dc-a" and 1 in "dc-b"
    When the object "<name>" asks for an evacuation
    Then both data centres are used and the log has "evacuation_without_targets"

    Examples:
      | name          |
      | dc-z          |
      | DC-A          |
      | ../dc-a       |
      | dc-a%00       |
      | *             |
      | дц-a          |

  Scenario: A new node knows the evacuations before it serves
    Given a new node that has listed the configuration and the targets
    Then it does not serve
    When it lists the evacuation of "dc-b"
    Then it serves without "dc-b"

  Scenario: A new node whose store does not give evacuations
    # Guards against a node that never serves because of one kind.
    Given a new node that has listed the configuration and the targets
    When 2.3 s pass at the node
    Then it serves all data centres

  Scenario: A change of evacuations passes between nodes, and an older one does not count
    Given a node that has listed everything at revision 30
    When another node passes on at revision 41 that "dc-b" is evacuated
    Then the node has evacuated "dc-b"
    When another node passes on at revision 35 that nothing is evacuated
    Then the node has evacuated "dc-b"
    When another node sends all evacuations as of revision 50, which are none
    Then the node has evacuated nothing

  Scenario Outline: The store comes back from an older copy
    # Guards against acting on an older state: the copy does not know what was decided since.
    Given a node that has listed everything at revision 30
    When another node passes on at revision 41 that "dc-b" is evacuated
    And <meanwhile>
    And the store comes back in era 2 at revision 35 and <copy>
    Then the node has evacuated <first>
    When <later>
    Then the node has evacuated <second>

    Examples:
      | meanwhile                         | copy               | first   | later                                          | second  |
      | nothing else happens              | lists nothing      | "dc-b"  | "dc-b" is written and deleted in era 2         | nothing |
      | nothing else happens              | lists nothing      | "dc-b"  | 61 s pass at the node                          | nothing |
      | nothing else happens              | lists it           | "dc-b"  | "dc-b" is deleted in era 2                     | nothing |
      | the evacuation of "dc-b" is ended | lists it           | nothing | "dc-b" is written in era 2                     | "dc-b"  |
      | the evacuation of "dc-b" is ended | lists it           | nothing | it lists the same again                        | nothing |
      | the evacuation of "dc-b" is ended | lists nothing      | nothing | "dc-b" is written in era 2                     | "dc-b"  |

  Scenario: A store that has never held an evacuation
    # Guards the store against lists without a pause, if it counts the revisions of each kind from 0.
    Given a follower whose store lists nothing at revision 0
    When it runs for 0.3 s
    Then it has listed once and its listener knows that nothing is evacuated

  Scenario Outline: A link between two data centres is cut while a third one reaches both
    # Guards the data centre that hears nothing of the node that follows the store for all.
    Given <nodes> nodes in 3 data centres with 3 seeds
    When the exchange has run for 5 s
    And the link between the data centres of the first two seeds is cut for <time> s
    And the store tells the nodes that follow it of a change
    And the exchange has run for 1 s
    Then all <nodes> nodes have the change

    Examples:
      | nodes | time |
      | 24    | 2.5  |
      | 24    | 8.0  |
      | 190   | 8.0  |

  Scenario Outline: A data centre is emptied under a surge
    # Guards the callers of the data centres that are left.
    Given a fleet of 24 nodes and 18 targets in 3 data centres
    When one is evacuated at 70% load and the load rises to 85% of what is left, with seed <seed>
    Then no target there gets a request from then on
    And at most 2 of 100 requests are refused or fail

    Examples:
      | seed |
      | 1    |
      | 2    |

  Scenario: An evacuation during an outage of the store, with a real node
    # Guards the state in force while the store is away, and a restart of nothing but the store.
    Given a node that follows evacuations, with 2 targets of the service "reads" and 1 of "books"
    When the data centre of the targets is evacuated and the node knows it
    And the store is down
    And the node has noticed that
    And a caller sends "GET" "/views/1" with id "e1"
    Then the read gets status 503
    When the store is up again
    And the evacuation ends and the node knows it
    And a caller sends "GET" "/views/1" with id "e2"
    Then the answer has status 200, the id "e2" and the signature of a target of "reads"
