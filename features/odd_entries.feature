Feature: An odd entry of another writer sets aside only itself
  One entry may hold any value in any field; nodes keep the others and go on following.

  Scenario: Deeply nested values are set aside in about the time that a flat list takes
    # Guards against 1 MB nested 200,000 deep, which took 1.9 s of a core each time it was read.
    Then reading 1 MB of deeply nested values takes at most 8 times as long as a flat list
    And for 300 drawn texts, arrays nested at any depth are split at their outermost commas

  Scenario Outline: A value that no target has is set aside with the reason
    # Guards the other targets: <guarded>.
    When a node takes a list of three targets, the last one with <field> <value>
    Then it holds the first two, and logs the last one once with the reason "<reason>"

    Examples: Names, which are sent in a header and stand in digests between nodes
      | field | value            | reason          | guarded                                    |
      | name  | "i-2\r\nx-a: b"  | cannot be named | header lines that the store's writer draws |
      | name  | "i-2\u0000"      | cannot be named | requests with a NUL in a header            |
      | name  | "π"              | cannot be named | each request to it answered 421            |
      | name  | of 50,000 digits | cannot be named | digests and heads that are too large       |

    Examples: Addresses
      | field   | value                 | reason            | guarded                              |
      | address | "::1%\u0000:9001"     | not an IP address | requests lost by an error of connect |
      | address | "fe80::1%\r\na:9001"  | not an IP address | header lines of probes               |
      | address | "0.0.0.0:9001"        | not an IP address | requests that the node sends itself  |
      | address | "224.0.0.1:9001"      | not an IP address | requests that reach nobody           |
      | address | "255.255.255.255:901" | not an IP address | requests that reach nobody           |
      | address | "[::1]:9001"          | not an IP address | a crash of the list                  |
      | address | "a.example:9001"      | not an IP address | names that nobody resolves           |
      | address | "127.0.0.1:0"         | not an IP address | a crash of the list                  |
      | address | "127.0.0.1:-1"        | not an IP address | a crash of the list                  |

    Examples: Numbers
      | field    | value         | reason      | guarded                             |
      | slots    | 1000000000000 | out of range | the limits of the service's others |
      | slots    | 100001        | out of range | the limits of the service's others |
      | slots    | -0            | out of range | a crash of the list                |
      | slots    | 1.5           | Expected    | a crash of the list                 |
      | sequence | -1            | out of range | an entry that is dropped silently  |
      | sequence | 2^63          | out of range | sequences that no process reaches  |
      | born     | -1            | out of range | target names that no process has   |
      | born     | 2^63          | out of range | target names that no process has   |
      | born     | 1e3           | Expected    | a crash of the list                 |
      | cold     | 1e400         | out of range | a crash of the list                |
      | cold     | of 400 digits | 64 bits     | messages that cannot be encoded     |
      | cold     | NaN           | malformed   | a crash of the list                 |

  Scenario: Whatever one field of an object holds, the node keeps the other targets
    # Guards the whole way from a store's bytes over messages between nodes to sent requests.
    Then for 1500 objects with drawn fields and seed 47, targets and requests stay

  Scenario: A node follows on beside odd entries of every form
    # Guards issue 47: machines that read the list ended, or stopped following it.
    Given a node that follows all kinds, with 2 targets of "reads" and 1 of "books"
    When another writer leaves odd entries in each list that the node follows
    And the target "reads-0" drains and the node knows it
    And a caller sends 12 reads one after the other
    Then every one of them is answered with status 200
    And the node has logged each odd entry once since its start
    When the node is killed and started again
    And a caller sends 12 reads one after the other
    Then every one of them is answered with status 200
    And none of them ran on "reads-0"
    And the node has logged each odd entry once since its start
