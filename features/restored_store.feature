Feature: A store that comes back from a copy some seconds old
  What was written since the copy is gone, and revisions are given out again.

  Scenario: A change is in force although its revision was given out before
    # Guards CONFIG: a node watched from a revision of before the restoration. The store had passed it
    # again, so that the watch succeeded and skipped what had been written below it.
    Given a node with 2 targets of the service "reads" and 1 of "books"
    When the store is copied, version 9 is applied and 6 entries are written
    And the store comes back from the copy, version 12 moves "/views/" to "books" and 9 entries are written
    Then the node applies version 12

  Scenario: A configuration that the copy lacks stays in force
    # Guards against a return to the version of the copy.
    Given a node with 2 targets of the service "reads" and 1 of "books"
    When the store is copied, version 9 is applied and 6 entries are written
    And the store comes back from the copy, and 9 entries are written
    And a caller sends "GET" "/views/1" with id "r1"
    Then the answer has status 200, the id "r1" and the signature of a target of "books"

  Scenario: A target that had left is not used again because the copy names it
    # Guards DRAIN: the copy names targets as ready that have drained since.
    Given a node with 2 targets of the service "reads" and 1 of "books"
    When the store is copied, "reads-0" drains and ends, and 6 entries are written
    And the store comes back from the copy, and 9 entries are written
    And the node has listed the targets of the copy
    And a caller sends 8 reads one after the other
    Then every one of them is answered with status 200
    And none of them ran on "reads-0"

  # Pure functions and relays in one process.

  Scenario: An empty answer of a later era makes a node list anew
    # Guards the moment after a restoration: the store has passed the revision again and says nothing new.
    Given a node that watches from revision 42 of era 1
    When the watch is answered without changes, as of revision 45 of era 2
    Then the node's next call is a list

  Scenario: A watch of before a restoration does not hide what other nodes passed on since
    # Guards a call that is under way while another node passes on the state of the new era.
    Given a node that watches from revision 42 of era 1
    When another node passes on revision 38 of era 2 while the watch is under way
    And the watch is answered with a change at revision 45 of era 2
    Then the node's next call is a watch from revision 38

  Scenario: A list whose pages are of two eras does not count
    Given a node that lists two pages, the second of a later era
    Then the list fails and no object is taken

  Scenario Outline: Nodes that hold higher revisions of before take the state of the restored store
    # Guards nodes that rely on others: they dropped updates with lower revisions than they held.
    Given <nodes> nodes in <data_centres> data centres with 3 seeds
    When the exchange has run for 5 s
    And the store comes back in era 2 at a lower revision, and the nodes that follow it list it
    And the exchange has run for 1 s
    Then all nodes hold the state of the restored store

    Examples:
      | nodes | data_centres |
      | 24    | 3            |
      | 220   | 5            |

  Scenario Outline: A node that starts from the copy gets the version that the others hold
    # Guards CONFIG: killed nodes listed the copy, and the others confirmed its revision although they
    # served by a version that it lacks.
    Given 24 nodes in 3 data centres with 3 seeds
    And all of them hold version 13 of the configuration
    When the exchange has run for 5 s
    And the store comes back in era 2 with version 10, and the nodes that follow it list it
    Then all nodes hold version 13 of the configuration
    When <which> starts anew from the copy
    And the exchange has run for 3 s
    Then all nodes hold version 13 of the configuration

    Examples:
      | which          |
      | the last node  |
      | the first seed |

  Scenario: A target that left before a restoration comes back only by what it writes afterwards
    # Guards DRAIN: the copy names targets as ready as they were before they left.
    Given a directory in which "i-0" drains at its write 7, "i-1" is removed after its write 5, and "i-2" serves
    When the store comes back from a copy with "i-0" at write 4, "i-1" at write 5 and "i-2" at write 3
    Then its catalogue has the targets "i-2"
    When "i-1" writes its entry again at write 9
    Then its catalogue has the targets "i-1,i-2"

  Scenario: A target that registered after the copy was made is kept until it writes again
    Given a directory in which "i-0" and "i-1" serve
    When the store comes back from a copy that lacks "i-1"
    Then its catalogue has the targets "i-0,i-1"
    When 2.1 s pass
    Then its catalogue has the targets "i-0"

  Scenario Outline: The era of the store's answers
    Then an answer with the era "<value>" is of era <era>

    Examples:
      | value | era  |
      | 3     | 3    |
      | 0     | 0    |
      | -1    | none |
      | x     | none |
      | 99999 | none |

  Scenario: An answer of before a restoration confirms nothing
    Given a node that watches from revision 42 of era 1
    And it is not known whether it misses anything
    When another node passes on revision 38 of era 2 while the watch is under way
    And the watch is answered without changes, as of revision 45 of era 1
    Then it is still not known whether it misses anything
    And the node's next call is a watch from revision 38

  Scenario: A list with an older version leaves the newer one with the node
    # Guards the only node that is left with a version that the copy lacks.
    Given a node that holds version 13 of the configuration
    When it lists a restored store with version 10
    Then it holds version 13 of the configuration
    When it lists a restored store without a configuration
    Then it holds version 13 of the configuration
    When it lists a restored store with version 14
    Then it holds version 14 of the configuration
