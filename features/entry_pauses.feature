Feature: An entry that was paused does not serve by its old view
  A VM that is paused for minutes wakes with the view of before. Requests that wait in its sockets
  would reach targets that an operator took out long ago.

  Background:
    Given 2 VMs with entries, and a service at targets "t1" and "t2" of which "t1" is selected

  Scenario: Requests that wait at a paused entry go to the targets of the newest view
    When the first entry is paused and gets 20 reads
    And the selected target is changed to "t2" and the first VM's agent holds the change
    And the first entry continues after more than 1.5 s
    Then all 20 reads are answered by "t2"
    And the first entry logged its pause and a confirmed view

  Scenario: An entry whose whole VM was paused waits for its agent
    # Guards against a view that was confirmed by an agent which does not know more itself.
    When the first VM is paused and its entry gets 20 reads
    And the selected target is changed to "t2" and the other VMs hold the change
    And the first entry continues after more than 1.5 s, and its agent once a pause is logged
    Then all 20 reads are answered by "t2"

  Scenario: Without an agent a paused entry serves by the view that it has, after 2 s
    When the first VM's agent is killed and its entry is paused and gets 20 reads
    And the first entry continues after more than 1.5 s
    Then all 20 reads are answered by "t1"
    And the first entry logged an unconfirmed view, and no read was answered before it

  Scenario: An attempt whose connection is still being opened is taken back after a pause
    Then in the decisions an unsent attempt is cancelled, waits and is sent by the confirmed view
