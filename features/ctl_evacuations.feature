Feature: Operators evacuate and restore data centres with poplarctl
  The stand-in for the platform's store, and poplarctl as a process.

  Background:
    Given a store with 2 targets of "reads" in "zone-a"

  Scenario: An evacuation is shown, written and ended
    When the operator runs "evacuate zone-a --dry-run"
    Then poplarctl exits with status 0, says "service reads: 12 slots there, 0 elsewhere" and the store has no evacuation
    When the operator runs "evacuate zone-a"
    Then poplarctl exits with status 0, says "zone-a is evacuated" and the store has the evacuation of "zone-a"
    When the operator runs "restore zone-a --dry-run"
    Then poplarctl exits with status 0, says "nothing was written" and the store has the evacuation of "zone-a"
    When the operator runs "restore zone-a"
    Then poplarctl exits with status 0, says "has ended" and the store has no evacuation

  Scenario Outline: Each way to fail has its exit status and one line that says why
    # Guards mistaken names: an evacuation of a name without targets changes nothing.
    When the operator runs "<command>"
    Then poplarctl exits with status <status>, says "<text>" and the store has no evacuation

    Examples:
      | command              | status | text                       |
      | evacuate zone-b      | 4      | targets are in zone-a      |
      | evacuate             | 2      | data-centre                |
      | evacuate ''          | 2      | not a name                 |
      | evacuate ../config   | 4      | no target is in            |
      | restore zone-a       | 4      | is not evacuated           |

  Scenario: A name with special characters is written as it is
    When the operator runs "evacuate 'a/b ?é' --force"
    Then poplarctl exits with status 0, says "is evacuated" and the store has the evacuation of "a/b ?é"

  Scenario: The store is away
    When the store of poplarctl is down and the operator runs "evacuate zone-a"
    Then poplarctl exits with status 5, says "cannot be read" and the store has no evacuation
