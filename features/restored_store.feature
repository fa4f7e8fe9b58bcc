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
