Feature: Operators see a change reach every agent and entry
  An operator who takes a target out must know when the last entry has stopped sending to it.

  Scenario: Changes, waiting and bad objects on a running fleet
    Given 3 VMs with an agent and an entry each and the service of the operators
    When an operator changes a label with --wait
    Then the change is in force on 3 agents and entries in at most 4 s by the printed time
    And wait finds the agents through the platform's VM list as well
    And status shows 3 agents and 3 entries with the same revision
    When another tool writes an unknown field into the service and its copy
    Then status names the rejected object, its field and its reason
    And a label change is based on the object that the agents hold and is in force with --wait
    When the platform of the fleet is in an outage
    Then wait for the revision in force ends with status 0 and for the next one with status 6
    When the outage is over and the third agent is paused
    Then a change with --wait ends with status 6 and names the third agent
    And when the agent runs again wait ends with status 0
