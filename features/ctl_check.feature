Feature: A configuration is checked before it is sent
  A configuration with a fault reaches all nodes within seconds; operators find the fault before.

  Scenario: A sound configuration is clean
    # Guards against warnings about the usual case, which operators would learn to ignore.
    Then the configuration has no findings

  Scenario Outline: What nodes refuse is an error at the path of the field
    # Guards against a faulty field that is not found, or is shown at another place.
    Given a checked configuration in which <path> is <value>
    Then the check finds an error at <place> that says "<text>"

    Examples:
      | path                              | value              | place                             | text                         |
      | version                           | "7"                | version                           | expected an integer          |
      | version                           | 0                  | version                           | expected an integer >= 1     |
      | version                           | true               | version                           | expected an integer          |
      | version                           | 99999999999999999999 | version                         | beyond 64 bits               |
      | version                           | absent             | version                           | missing                      |
      | routes                            | absent             | routes                            | missing                      |
      | routes                            | {}                 | routes                            | expected a list              |
      | routes[0]                         | null               | routes[0]                         | not an object                |
      | routes[0].name                    | absent             | routes[0].name                    | missing                      |
      | routes[0].name                    | ""                 | routes[0].name                    | empty                        |
      | routes[0].name                    | "\ud800"           | routes[0].name                    | Unicode                      |
      | routes[0].name                    | "r-2"              | routes[1].name                    | routes[0] has the same name  |
      | routes[0].host                    | ""                 | routes[0].host                    | empty                        |
      | routes[0].path_prefix             | "x/"               | routes[0].path_prefix             | begin and end with a slash   |
      | routes[0].path_prefix             | "/x"               | routes[0].path_prefix             | begin and end with a slash   |
      | routes[0].path_prefix             | ""                 | routes[0].path_prefix             | begin and end with a slash   |
      | routes[0].path_prefix             | "/y/"              | routes[1].path_prefix             | same host and prefix         |
      | routes[0].route_type              | "sometimes"        | routes[0].route_type              | expected one of safe, unsafe |
      | routes[0].timeout_s               | -1                 | routes[0].timeout_s               | expected a number >= 0       |
      | routes[0].timeout_s               | 1e999              | routes[0].timeout_s               | out of range                 |
      | routes[0].max_attempts            | 0                  | routes[0].max_attempts            | fewer than one               |
      | routes[0].max_attempts            | 1.5                | routes[0].max_attempts            | expected an integer          |
      | routes[0].public                  | "no"               | routes[0].public                  | true or false                |
      | routes[0].service                 | "s9"               | routes[0].service                 | 's9' is not in               |
      | routes[0].service                 | absent             | routes[0]                         | neither a service nor        |
      | routes[1].traffic_split           | []                 | routes[1]                         | neither a service nor        |
      | routes[1].traffic_split[1]        | {"service":"s2"}   | routes[1].traffic_split[1].weight | missing                      |
      | routes[1].traffic_split[1].weight | -1                 | routes[1].traffic_split[1].weight | expected a number >= 0       |
      | routes[1].traffic_split           | [{"service":"s2","weight":0}] | routes[1].traffic_split | no service of the split     |
      | services[0].max_connections       | 0                  | services[0].max_connections       | expected an integer >= 1     |
      | services[1].name                  | "s1"               | services[1].name                  | services[0] has the same     |
      | limits.max_body_bytes             | absent             | limits.max_body_bytes             | missing                      |
      | limits                            | [1]                | limits                            | expected an object or null   |
      | tenants[0].rate_per_s             | "9"                | tenants[0].rate_per_s             | expected a number            |
      | tenants[0].api_keys               | "SECRET"           | tenants[0].api_keys               | expected a list              |
      | tenants[0].api_keys[1]            | ""                 | tenants[0].api_keys[1]            | empty                        |
      | tenants[0].api_keys[1]            | 7                  | tenants[0].api_keys[1]            | not a string                 |
      | tenants[0].api_keys[1]            | "SECRETé"          | tenants[0].api_keys[1]            | not ASCII                    |
      | tenants[0].api_keys[1]            | "SECRET-3"         | tenants[1].api_keys[0]            | customer 'c1' has the same   |
      | tenants[0].name                   | "SECRET-3"         | tenants[0].name                   | the name is a key            |

  Scenario: Keys of up to 256 bytes are valid
    # Guards the bound on both sides.
    Then a key of 256 bytes is valid and one of 257 is an error

  Scenario Outline: What can never match or contradicts itself is a warning
    # Guards against an entry that is accepted by nodes and has no effect or an unintended one.
    Given a checked configuration in which <path> is <value>
    Then the check finds a warning at <place> that says "<text>"

    Examples:
      | path                              | value              | place                             | text                        |
      | routes[0]                         | {"name":"r-1","host":"A.example","path_prefix":"/y/","route_type":"safe","service":"s1"} | routes[1].host | letter case |
      | routes[1]                         | {"name":"r-2","host":"A.example","path_prefix":"/x/","route_type":"safe","service":"s2","public":true} | routes[1].host | need a key |
      | routes[0].host                    | "a.example:80"     | routes[0].host                    | never matches               |
      | routes[0].host                    | "a.example/x"      | routes[0].host                    | never matches               |
      | routes[1].service                 | "s1"               | routes[1].service                 | nodes ignore the service    |
      | routes[1].traffic_split[1].weight | 0                  | routes[1].traffic_split[1].weight | 's2' gets no requests       |
      | routes[1].traffic_split[1].service | "s1"              | services[1]                       | no route leads to           |
      | routes[0].max_attempt             | 3                  | routes[0]                         | unknown field 'max_attempt' |
      | tenants[0].SECRET                 | 3                  | tenants[0]                        | unknown field number 6      |
      | tenants[0].api_keys               | []                 | tenants[0].api_keys               | 'c1' has no key             |
      | tenants[0].api_keys               | ["SECRET","SECRET"] | tenants[0].api_keys[1]           | listed twice                |
      | routes[0].target_latency_s        | 1.6                | routes[0].target_latency_s        | above the timeout           |
      | routes[0].timeout_s               | 0.6                | routes[0].timeout_s               | second attempt              |
      | tenants[0].burst                  | 0                  | tenants[0].burst                  | the burst is 0              |
      | tenants[0].burst                  | 70                 | tenants[0].burst                  | far below                   |
      | tenants[0].burst                  | 711                | tenants[0].burst                  | far above                   |
      | tenants[0].rate_per_s             | 0                  | tenants[0].burst                  | no effect                   |
      | services[0].cold_start_s          | 0                  | services[0].cold_per_s            | without a cold time         |
      | limits.max_body_bytes             | 100                | limits.max_header_bytes           | above that of bodies        |

  Scenario Outline: Values at the bounds of the warnings are clean
    # Guards against warnings about customary values, and against a bound moved by one.
    Given a checked configuration in which <path> is <value>
    Then the configuration has no findings

    Examples:
      | path                    | value     |
      | routes[0].timeout_s     | 0.61      |
      | routes[0].timeout_s     | 0         |
      | routes[0].path_prefix   | "/Y/"     |
      | routes[0].host          | "[::1]"   |
      | tenants[0].burst        | 71        |
      | tenants[0].burst        | 710       |
      | services[0].cold_per_s  | 0         |
      | limits.max_body_bytes   | 16384     |
      | tenants                 | null      |

  Scenario: One fault does not hide others or cause false ones
    # Guards against a service that seems unused or unknown because another entry is unreadable.
    Given a checked configuration in which routes[1].timeout_s is "x"
    And also in which services[0].max_connections is "x"
    Then the check finds 2 errors and 0 warnings

  Scenario: A route inside a public one that needs a key is a note
    Given a checked configuration in which routes[0].path_prefix is "/"
    And also in which routes[0].public is true
    Then the check finds a note at routes[1].path_prefix that says "routes[0] around it is public"

  Scenario Outline: Quotas are compared with the capacity
    Then with <slots> slots of 100 ms the check finds <count> warnings

    Examples:
      | slots | count |
      | 16    | 0     |
      | 15    | 1     |

  Scenario: A timeout is compared with the service time
    Then with 2000 slots of 601 ms the check finds 1 warnings

  Scenario Outline: Differences from the version in force
    # Guards against a change that is not shown, and keys that are.
    Given the version in force is the sound configuration
    And a checked configuration in which version is 8
    And also in which <path> is <value>
    Then the check finds a note at <place> that says "<text>"

    Examples:
      | path                              | value            | place                       | text                                     |
      | version                           | 9                | version                     | rises from 7 to 9                        |
      | routes[0].name                    | "r-9"            | routes[0]                   | route 'r-9' is added                     |
      | routes[0].name                    | "r-9"            | routes                      | route 'r-1' is removed                   |
      | routes[0].timeout_s               | 1.4              | routes[0].timeout_s         | route 'r-1' changes: 1.5 -> 1.4          |
      | routes[1].traffic_split[0].weight | 80               | routes[1].traffic_split     | 's1': 90, 's2': 10] -> ['s1': 80         |
      | services[1].name                  | "s3"             | services                    | service 's2' is removed                  |
      | tenants[0].burst                  | 150              | tenants[0].burst            | customer 'c1' changes: 142.0 -> 150.0    |
      | tenants[0].api_keys[0]            | "SECRET-9"       | tenants[0].api_keys         | 'c1' gets 1 key (SHA-256 DIGEST-9)       |
      | tenants[0].api_keys[0]            | "SECRET-9"       | tenants[0].api_keys         | 'c1' loses 1 key (SHA-256 DIGEST-1)      |
      | tenants                           | []               | tenants                     | 'c1' loses 2 keys (SHA-256 DIGEST-1      |
      | limits                            | null             | limits                      | limits are removed                       |
      | limits.idle_timeout_s             | 16               | limits.idle_timeout_s       | changes: 15.0 -> 16.0                    |

  Scenario Outline: A version that does not rise is an error, unless nothing changed
    # Guards against a configuration that nodes silently never apply.
    Given the version in force is the sound configuration
    And a checked configuration in which version is <version>
    And also in which routes[0].priority is <priority>
    Then the check finds a <severity> at version that says "<text>"

    Examples:
      | version | priority | severity | text                                        |
      | 7       | 1        | note     | is the one in force                         |
      | 7       | 2        | error    | does not rise: 7, while 7 is in force       |
      | 6       | 1        | error    | does not rise: 6, while 7 is in force       |

  Scenario: Keys are only counted
    # Guards against digests, or keys, in the list of changed fields.
    Given the version in force is the sound configuration
    And a checked configuration in which version is 8
    And also in which tenants[0].api_keys is ["SECRET-9"]
    Then no finding says "changes"

  Scenario: The name of a customer that is a key in force stays hidden
    Given the version in force is the sound configuration
    And a checked configuration in which tenants[0].name is "SECRET-1"
    And also in which tenants[0].api_keys is ["SECRET-8"]
    Then the check finds an error at tenants[0].name that says "the name is a key"

  Scenario: Unreadable entries are not reported as removed
    # Guards against an operator who believes that a route would be removed.
    Given the version in force is the sound configuration
    And a checked configuration in which version is 8
    And also in which routes[0].timeout_s is "x"
    And also in which services is 3
    Then no finding says "removed"

  Scenario Outline: The version in force is read from a page of the store
    Then a response <response> of the store gives "<result>"

    Examples:
      | response               | result                                        |
      | with the configuration | the sound configuration                       |
      | without configuration  | no configuration is in force                  |
      | with an unreadable one | the configuration in force cannot be decoded  |
      | of random bytes        | the response cannot be decoded                |
      | with status 503        | status 503                                    |
      | that ends before it    | the next page after b                         |
      | that does not get on   | no configuration is in force                  |
      | that is past it        | no configuration is in force                  |

  Scenario: Whatever a document holds, the check ends with findings that show no key
    # Guards against an exception, and a key in a message, for any shape of content.
    Then any changed configuration gives findings without a key

  Scenario Outline: Exit statuses of the command
    # Guards scripts that send a configuration only after the status 0 or 1.
    Given a file to check with <content>
    When poplarctl check reads it with "<options>"
    Then the check ends with status <status> and says "<text>"

    Examples:
      | content                     | options                                 | status | text                                         |
      | the sound configuration     |                                         | 0      | errors 0, warnings 0, notes 0                |
      | the sound configuration     | --slots 10 --service-time-ms 100        | 1      | warning: tenants: the quotas add up to 152   |
      | a missing host              |                                         | 2      | error: routes[0].host: the field is missing  |
      | a missing host              | --json                                  | 2      | "path": "routes[0].host"                     |
      | names given twice           |                                         | 2      | error: tenants[0].name: the name is given twice |
      | 99 levels                   |                                         | 2      | errors 3,                                    |
      | 100 levels                  |                                         | 2      | nested deeper than 100 levels                |
      | an array                    |                                         | 2      | error: document: not an object               |
      | control characters          |                                         | 2      | service '\x1b[2J\ud800'                      |
      | the sound configuration     | --against FILE                          | 0      | note: version: the configuration is the one in force |
      | the sound configuration     | --against missing.json                  | 3      | No such file                                 |
      | the sound configuration     | --against FILE --store 127.0.0.1:1      | 3      | exclude each other                           |
      | the sound configuration     | --slots 10                              | 3      | belong together                              |
      | the sound configuration     | --slots nan --service-time-ms 1         | 3      | option --slots                               |
      | the sound configuration     | --store 127.0.0.1                       | 3      | not HOST:PORT                                |
      | the sound configuration     | --store é:80                            | 3      | not HOST:PORT                                |
      | the sound configuration     | --unknown                               | 3      | does not exist                               |
      | random bytes                |                                         | 3      | not UTF-8 at byte                            |
      | random bytes                | --json                                  | 3      | "status": 3                                  |
      | 10 MB                       |                                         | 3      | larger than 4000000 bytes                    |
      | 100000 levels               |                                         | 3      | nested too deeply                            |
      | a number of 5000 digits     |                                         | 3      | a number that cannot be read                 |
      | NaN                         |                                         | 3      | a number that cannot be read                 |
      | nothing                     |                                         | 3      | not JSON at line 1, column 1                 |

  Scenario Outline: The installed program has the command
    Given a file to check with <content>
    When the installed program reads it
    Then the check ends with status <status> and says "<text>"

    Examples:
      | content                 | status | text                          |
      | the sound configuration | 0      | errors 0, warnings 0, notes 0 |
      | random bytes            | 3      | not UTF-8 at byte             |

  Scenario: A large configuration is checked in time that grows in proportion
    # Guards against comparing each route with each other one: a file of 4 MB would take hours.
    Then 8 times as many nested routes take less than 24 times as long
