Feature: Operators' changes survive races, lost answers, outages and bad objects
  A change that is lost, applied twice or written over by another operator sends requests to
  targets that an operator has taken out, with nobody to notice at night.

  Background:
    Given a platform with the service of the operators

  Scenario: Operators who set different labels at once all succeed
    When 6 operators set different labels of the same target at once
    Then every operator exits with status 0
    And all 6 labels are stored, each by a change of its own in consecutive revisions
    And the copy equals the stored service

  Scenario: Of operators who set the same label at once one wins and the others get a conflict
    When 5 operators set the same label from the same expected value at once
    Then one operator exits with status 0 and 4 with status 3
    And every conflict names the winner's value

  Scenario Outline: A change whose answer is lost takes effect once
    Given the platform loses the answers to the next <count> writes
    When an operator sets label "role" of "t1" to "resting"
    Then the operator exits with status 0
    And the stored service has revision 2 and the label once in its history
    And the copy equals the stored service

    Examples:
      | count |
      | 1     |
      | 2     |
      | 3     |

  Scenario: A connection that is reset after the write took effect does not repeat the change
    Given a proxy before the platform that resets the answer to the next write
    When an operator behind the proxy sets label "role" of "t1" to "resting"
    Then the operator exits with status 0
    And the stored service has revision 2 and the label once in its history

  Scenario: A change started during an outage takes effect when the outage ends in time
    Given the platform is in an outage
    When an operator starts to set label "role" of "t1" to "resting"
    And the platform has refused the operator and the outage ends
    Then the started operator exits with status 0
    And the stored service has revision 2 and the label once in its history

  Scenario: A change during a longer outage ends with status 5 and writes nothing
    Given the platform is in an outage
    When an operator with 500 ms of patience sets label "role" of "t1" to "resting"
    Then the operator exits with status 5
    And the operator is told "was not written"
    And the stored service has revision 1 after the outage

  Scenario: A change whose every answer is lost is reported as unknown
    Given the platform loses the answers to the next 1000 writes
    When an operator with 700 ms of patience sets label "role" of "t1" to "resting"
    Then the operator exits with status 0 or is told that the outcome is unknown with status 5
    And the stored service holds the change at most once

  Scenario: Stale reads neither lose a change nor revert one
    Given "role=one" was set on "t1" and the platform answers reads of before that
    When an operator sets label "site" of "t1" to "two"
    Then the operator exits with status 0
    And the labels "role=one" and "site=two" of "t1" are stored in revision 3

  Scenario: A stale read that shows no service does not lead to a second creation
    Given "role=one" was set on "t1" and the platform answers that there is no service
    When an operator applies the initial file
    Then the operator exits with status 3
    And the operator is told "revision was expected to be 1, but is 2"
    And the stored service has revision 2 when reads are current again

  Scenario: An expected value is compared with the current one, not with a stale read
    Given "role=one" was set on "t1" and the platform answers reads of before that
    When an operator expecting "one" sets label "role" of "t1" to "two"
    Then the operator exits with status 0

  Scenario: A writer that ended between its two writes is completed by the next one
    Given another writer wrote revision 2 of the service but not its copy
    When an operator sets label "site" of "t1" to "two"
    Then the operator exits with status 0
    And the copy was written with revision 2 and then with revision 3

  Scenario Outline: A bad object of another tool is replaced from the last accepted one
    Given the label "role" of "t1" was changed to "one"
    And another tool wrote over the service with <what>
    When an operator sets label "site" of "t1" to "two"
    Then the operator exits with status 0
    And the labels "role=one" and "site=two" of "t1" are stored in revision 4
    And the copy equals the stored service

    Examples:
      | what                               |
      | text that is not JSON              |
      | an unknown field                   |
      | an older revision                  |
      | the same revision, other content   |
      | the name of another service        |

  Scenario: A revision that readers may hold is not used again after the former object came back
    Given another writer wrote revision 2 of the service but not its copy
    And another tool wrote over the service with the initial object
    When an operator sets label "site" of "t1" to "two"
    Then the operator exits with status 0
    And the labels "role=serving" and "site=two" of "t1" are stored in revision 3

  Scenario: A bad object is shown with its fault, and the last accepted one with it
    Given another tool wrote over the service with an unknown field
    When an operator asks for the service
    Then the operator exits with status 0
    And the operator is told "unknown field"
    And the operator is told "revision 1"

  Scenario: With neither a valid object nor a copy a change is refused until it is forced
    Given another tool wrote over the service and its copy with an unknown field
    When an operator sets label "role" of "t1" to "resting"
    Then the operator exits with status 4
    And an operator who applies a file gets status 4, and status 0 with --replace-bad

  Scenario: What poplarctl writes passes the validation that readers apply
    When an operator sets a selector of 3000 characters
    Then the operator exits with status 0
    And the stored service and its copy are valid
    When an operator with a line break in the name sets label "role" of "t1" to "resting"
    Then the operator exits with status 4
    And the operator is told "operator"
    When an operator applies a file so large that only its history exceeds 1 MB
    Then the operator exits with status 4
    And the operator is told "1000000"
    And the stored service and its copy are valid

  Scenario Outline: A dry run shows the change and writes nothing
    When an operator runs "<command>" with --dry-run
    Then the operator exits with status 0
    And the operator is told "nothing was written"
    And the platform has counted no further write

    Examples:
      | command                                                               |
      | set-label availability t1 role=resting                                |
      | remove-label availability t1 role                                     |
      | set-selector availability desks --callers kind=desk --targets role    |
      | remove-selector availability everyone                                 |
