Feature: The commands of poplarctl end with clear statuses and readable output
  Scripts of operators decide by exit status and JSON; a traceback or a wrong status at night
  makes them repeat or skip a change.

  Background:
    Given a platform with the service of the operators

  Scenario Outline: Each way to fail has its exit status and one line that says why
    When an operator runs poplarctl "<command>"
    Then the operator exits with status <status>
    And the operator is told "<text>" in one line without a traceback

    Examples:
      | command                                                  | status | text                 |
      | set-label availability t1                                | 2      | label                |
      | set-label availability t1 role                           | 2      | expected key=value   |
      | set-label availability t1 ro@le=x                        | 2      | position 1           |
      | set-lable availability t1 a=b                            | 2      | set-label            |
      | get --output yaml                                        | 2      | text, json           |
      | get Availability                                         | 2      | not a name           |
      | set-selector availability s --callers a                  | 2      | --targets            |
      | set-selector availability s --callers a~b --targets a    | 2      | position 2           |
      | wait availability --wait-timeout soon                    | 2      | seconds              |
      | apply /nonexistent.json                                  | 2      | No such file         |
      | set-label availability t1 role=x --expect old            | 3      | "serving"            |
      | set-label availability t1 role=x --expect-absent         | 3      | "serving"            |
      | set-label availability t9 role=x                         | 4      | targets.t9           |
      | remove-label availability t1 colour                      | 4      | not there            |
      | remove-selector availability nobody                      | 4      | selectors.nobody     |
      | set-label bookings t1 role=x                             | 4      | does not exist       |
      | get bookings                                             | 4      | does not exist       |
      | explain availability --target t9                         | 2      | t1, t2, t3           |

  Scenario: An unreachable platform ends with status 5
    When an operator of a platform that is not there sets a label
    Then the operator exits with status 5
    And the operator is told "was not written" in one line without a traceback

  Scenario Outline: JSON output is one document with the result and its code
    When an operator runs poplarctl "<command> --output json"
    Then the output is one JSON document with code <code> and field "<field>"

    Examples:
      | command                                              | code | field     |
      | get availability                                     | 2000 | object    |
      | get                                                  | 2000 | services  |
      | history availability                                 | 2000 | changes   |
      | explain availability --caller kind=kiosk             | 2000 | verdicts  |
      | set-label availability t1 role=x                     | 2000 | accepted_s |
      | set-label availability t1 role=x --dry-run           | 2000 | dry_run   |
      | set-label availability t1 role=x --expect old        | 2003 | current   |
      | set-label availability t9 role=x                     | 2004 | faults    |
      | set-label availability                               | 2002 | reason    |
      | wait availability --wait-timeout 0                   | 2007 | lacking   |

  Scenario: A file makes the round trip of get, edit, diff, apply and history
    Given an operator saved the service and changed the policy to "round_robin" in the file
    Then diff shows only "policy" as different
    And apply of the file exits with status 0 and stores the policy "round_robin"
    And history shows the operator "ana" and "apply object"
    And apply of the same file again exits with status 3 because its revision is old
    And apply of the file with a wrong port exits with status 4 and names "targets.t1.port"

  Scenario: Explain names the requirement that fails for each selector
    Given the service has selectors for kiosks and for desks in Brasov
    Then explain for "kind=kiosk,site=sibiu" allows "t1" and denies "t2"
    And explain says that "site must be 'brasov', but is 'sibiu'"
    And explain says that "role must be 'serving', but is 'resting'"

  Scenario: The operators' page lists every settings key with its default, and every command
    Then docs/OPERATIONS.md names every key of the daemons' settings with its default
    And docs/OPERATIONS.md names every command, exit status and result code of poplarctl
