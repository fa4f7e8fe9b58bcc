Feature: A change does not act on an old read, an old answer of agents or an old proof
  A writer may sleep for seconds between two steps, and any read may be stale. Each scenario is one
  order of events that only many random runs would reach.

  Scenario: A write without an answer is not repeated when its history ends before a bad object
    # Guards against a second application: the bad object hid that 50 later changes were made.
    When the answer to a change is lost, 55 other changes follow and another tool writes over them
    Then its outcome is reported as unknown
    And the change was accepted exactly once

  Scenario: A stale read without the service does not make a label change invalid
    Given reads show the platform as of before the service existed
    When an operator sets a label
    Then the change is accepted in revision 2

  Scenario: A stale read without the object beside a current copy starts no recovery
    # Guards against a skipped revision: nothing was proved about an object that was not there.
    Given reads of the object show the time before the service existed
    When an operator sets a label
    Then the change is accepted in revision 2

  Scenario: Agents are asked again when a recovery was overtaken by another one
    # Guards against a revision that readers already hold, below the one that they hold now.
    When a recovery from the agents is overtaken by another one, and both objects turn bad again
    Then the change is accepted in a revision above all that agents held

  Scenario: A value that an operator saw is no conflict because a stale read does not show it
    Given a writer that wrote revision 2 but not its copy, and reads of the object show revision 1
    When an operator who saw revision 2 expects its label
    Then the change is accepted in revision 3
