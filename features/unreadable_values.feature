Feature: An unreadable value in the store costs only itself
  Other programs write to the store too; one value of theirs must not hide the others.

  Scenario Outline: A node that starts beside an unreadable entry serves
    # Guards review cases 1 and 5: no node came back after all were killed, because one entry made
    # every list undecodable, or ended the list as if it were complete.
    Given a node with 2 targets of the service "reads" and 1 of "books"
    When the store sends <form> and pages of <items> items
    And the store holds an entry "<name>" with bytes that are not UTF-8
    And the target "reads-0" drains and the node knows it
    And the node is killed and started again
    And a caller sends 8 reads one after the other
    Then every one of them is answered with status 200
    And none of them ran on "reads-0"

    Examples:
      | form          | items | name    |
      | escaped bytes | 0     | z-other |
      | raw bytes     | 0     | a-other |
      | raw bytes     | 1     | a-other |
      | escaped bytes | 1     | o-other |

  Scenario: Whatever one item of a page holds, the others are decoded
    # Guards against an item that hides others, for any content whose quotes and brackets match, and
    # against one that a node cannot pass on: it lost the changes that came with it.
    Then for 1000 drawn items, the decoder of a page returns the other items
    And for 1000 drawn items, the decoder of a watch returns the other changes

  Scenario: A list goes on behind unreadable items until the store says that it is complete
    # Guards review case 5: a page without a readable item ended the list as if it were complete.
    Given a store with pages of one item, of which all but "b", "n" and "z" are unreadable
    When a follower lists it
    Then it has the objects "b,n,z"

  Scenario Outline: A list that cannot be continued does not count as complete
    # Guards the targets of a node: a list that lacks some of them would remove them.
    Given a store that says that there are more pages after <page>
    When a follower lists it
    Then the list fails

    Examples:
      | page                 |
      | an empty page        |
      | an item without name |
      | the same page again  |

  Scenario Outline: An entry whose port is no number names no target and hides no other
    # Guards against an error of int() that ended the processing of the whole list.
    Given entries of two targets and one with the port <port>
    When a node takes the list of them
    Then it has the two targets

    Examples:
      | port                 |
      | "²"                  |
      | "8080²"              |
      | "٣"                  |
      | "-1"                 |
      | "65536"              |
      | of 5,000 digits      |
      | of 5,000 zeros and 1 |

  Scenario: An unreadable value is logged once, counted and shown
    # Guards operators who look for the writer of a bad entry, and logs that repeat it on every list.
    Given a node with 1 targets of the service "reads" and 1 of "books"
    When the store holds an entry "other" with bytes that are not UTF-8
    And the store holds an entry "no-port" with the address "127.0.0.1:²"
    And the node has logged both
    And the store forgets its history and the configuration moves "/views/" to "books" in version 9
    And the node applies version 9
    And the store holds an entry "other" with bytes that are not UTF-8
    And the configuration moves "/views/" to "reads" in version 10
    And the node has applied version 10
    Then each of them was logged once
    And the node's metrics count 2 unreadable objects, and its status and poplarctl show "no-port,other"
    When the entry "other" is removed and "no-port" has the address "127.0.0.1:9"
    Then the node's metrics count 0 unreadable objects, and its status and poplarctl show ""

  Scenario: A value that becomes unreadable and readable again is followed in lists, watches and relayed changes
    Given a follower that holds "a" and "b"
    When a watch brings an unreadable "a"
    Then it holds "b" and counts "a" as unreadable
    When another node passes on a readable "a"
    Then it holds "a,b" and counts "" as unreadable
    And an unreadable entry that is deleted counts as deleted only
