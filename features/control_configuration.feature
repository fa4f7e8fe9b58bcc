Feature: Agents keep the newest accepted configuration in force
  An operator's change must reach every entry within 4 s and persist. A process that acts on an
  older revision sends requests to targets that the operator has already taken out.

  Scenario Outline: A change is in force at every entry within 4 s (<network>, <platform>)
    # Guards against lost pushes and a platform that disappears once it accepted the write.
    Given a control fleet of 6 agents with entries in 2 data centres
    When <loss> percent of the messages between the agents are lost
    And <changes> changes are accepted one after the other and the platform is <platform> after each write
    Then each control change was in force at every entry within 4 s
    And no agent and no entry ever took a lower revision

    Examples:
      | network | loss | changes | platform    |
      | healthy | 0    | 8       | available   |
      | lossy   | 20   | 8       | available   |
      | lossy   | 20   | 4       | unavailable |

  Scenario: A burst of 500 changes passes
    # Guards against unbounded queues: a backlog per peer must coalesce revisions of one service.
    Given a control fleet of 6 agents in 2 data centres
    When 500 control changes to 100 services are written at once
    Then every agent holds the last of the burst within 10 s

  Scenario: Stale reads, lost answers and restarts never bring an older revision back
    # Guards against a fresh watcher that lists a stale platform and pushes what it got.
    Given a control fleet of 6 agents with entries in 2 data centres
    And control revisions 1 to 5 of a service are in force
    When the platform answers reads as of a minute ago
    And two agents in turn are killed and started again
    Then the restarted agents hold control revision 5 when they are ready
    And no agent and no entry ever took a lower revision

  Scenario: A paused agent does not hand out what it held before the pause
    # Guards against acting on an old view after a pause: its entry starts while it is stopped.
    Given a control fleet of 6 agents in 2 data centres
    And control revisions 1 to 2 of a service are in force
    When one agent is stopped, control revision 3 is accepted, its entry starts and it continues
    Then that agent reports its pause and the first revision of its entry is 3

  Scenario: A replaced VM that starts during an outage learns from its peers first
    # Guards against readiness without the view, and against guessing when nobody knows it.
    Given a control fleet of 4 agents and 2 spare VMs in 2 data centres
    And control revisions 1 to 3 of a service are in force
    When the platform is unavailable to everyone and a spare VM starts
    Then the new agent is ready with control revision 3 and did not ask the platform
    When a second spare VM without reachable peers starts
    Then it stays unready while it keeps trying

  Scenario: A bad object is ignored and reported, on new VMs as well
    # Guards against one wrong write that takes a service down or hides behind a restart.
    Given a control fleet of 4 agents and 2 spare VMs in 2 data centres
    And control revisions 1 to 3 of a service are in force
    When the stored object is replaced by one with a wrong field
    Then every agent reports the bad object with its field within 4 s and holds control revision 3
    When a spare VM starts with peers and another one with the platform only
    Then both are ready with control revision 3 and report the bad object

  Scenario: A paused agent that wakes before a stale platform is verified by its peers
    # Guards against a stale list that confirms the view of before the pause.
    Given a control fleet of 6 agents in 2 data centres
    And control revisions 1 to 2 of a service are in force
    When control revisions 3 to 4 follow, but all reads show the time before them
    And one agent is stopped, control revision 5 is accepted, its entry starts and it continues
    Then that agent reports its pause and the first revision of its entry is 5
    And no agent and no entry ever took a lower revision

  Scenario: Every agent is replaced in turn while all readers get old values
    # Guards against a fleet that falls back together once nobody is left who saw the last change.
    Given a control fleet of 4 agents with entries in 2 data centres
    And control revisions 1 to 2 of a service are in force
    When control revisions 3 to 5 follow, but all reads show the time before them
    And every agent in turn is killed and started again
    Then the restarted agents hold control revision 5 when they are ready
    When control revision 6 is accepted
    Then control revision 6 was in force at every entry within 4 s
    And no agent and no entry ever took a lower revision

  Scenario: A replaced VM in an outage is not ready below a revision that it has heard of
    # Guards against a ready peer that is behind itself, when those that are not are out of reach.
    Given a control fleet of 3 agents and 1 spare VMs in 3 data centres
    And control revisions 1 to 3 of a service are in force
    When the first data centre is cut off and control revision 4 is accepted elsewhere
    And the platform is down, a spare VM there starts and hears of control revision 4 only
    And the spare VM reaches the agent of its data centre, which holds control revision 3
    Then the spare VM holds control revision 3 and stays unready
    When the first data centre can send to the others again
    Then the spare VM is ready with control revision 4
