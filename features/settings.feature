Feature: Settings are checked at start
  A daemon that starts with a misspelt or out-of-range setting would run with a default that
  nobody chose.

  Scenario Outline: A wrong setting is refused with a line that names it
    Given entry settings in which "<key>" is <value>
    When the entry checks the settings
    Then it exits with status 2
    And it prints one line that contains "<named>" and "<accepted>"

    Examples:
      | key         | value    | named        | accepted               |
      | listen_prot | 8080     | listen_prot  | listen_port            |
      | listen_port | 70000    | listen_port  | 65535                  |
      | listen_port | "many"   | listen_port  | int                    |
      | policy      | 7        | policy       | str                    |
      | listen_address | "198.51.100.7" | listen | local address        |
      | agent_address  | "agent"     | agent_address | expected an IP    |
      | trusted_sources | ["ten"]    | trusted_sources | network         |

  Scenario: Entries and agents that share a seed draw different numbers
    # Guards against 24 entries that all send their next request to the same target.
    Given settings of 24 entries that share seed 0
    When each of them draws its first number
    Then 24 different numbers were drawn
    And an entry of the same name and seed draws the same number again
