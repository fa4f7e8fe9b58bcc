Feature: Cold targets, which sustain a low rate from all nodes together
  The real reducers and permits in virtual time; no network, no process.

  Scenario Outline: All nodes together keep to what a cold target sustains in any second
    # Guards targets that crash well above their cold rate: one second is too short for an exchange.
    Given <nodes> nodes whose callers ask for one target that is cold at <rate> requests a second
    When they send <how> for 60 s, with seeds 1 to 12
    Then no second holds more requests than 1.5 times the rate and 8
    And the nodes use at least <least> of the rate

    Examples:
      | nodes | rate | how                          | least |
      | 24    | 4.5  | whenever they have a permit  | 0.6   |
      | 190   | 4.5  | whenever they have a permit  | 0.6   |
      | 24    | 4.5  | together after each pause    | 0.2   |
      | 190   | 4.5  | together after each pause    | 0.2   |
      | 190   | 20   | together after each pause    | 0.2   |

  Scenario Outline: A third of the targets returns cold at 80% load
    # Guards cold targets of a service whose other targets are nearly full.
    Given a service of 17 targets of which 6 are replaced by targets that are cold for 3 s
    When 136 requests a second arrive at 24 nodes, with seed <seed>
    Then no cold target gets more than 14 requests in any second
    And the cold targets get at least 1 request a second each
    And at most 2 of 100 requests are refused

    Examples:
      | seed |
      | 1    |
      | 2    |

  Scenario Outline: No way of choosing a target passes the permits by
    # Guards trials, hedges, retries and queued requests, which choose targets in places of their own.
    Given a node whose 4 targets are cold for 10 s and that has no permit
    When with cold targets, <what>
    Then no request is sent to a cold target

    Examples:
      | what                                                |
      | a read arrives                                      |
      | a read arrives and an avoided target's trial is due |
      | a read at a warm target is overdue                  |
      | a booking is refused by a warm target               |
      | a read waits for a warm target                      |

  Scenario: A request that no cold target can take in time is refused at once
    # Guards callers from waiting for a permit that comes after their time.
    Given a node whose 4 targets are cold for 10 s and that has no permit
    When with cold targets, a read arrives
    Then it is refused at once with a Retry-After between 9 and 13 s

  Scenario: A probe shows that a target has turned cold
    # Guards the choice right after the probe, which went by what the lists said.
    Given a node with 2 warm targets of a service with a cold rate
    When a read arrives and both targets answer their probes as cold for 5 s
    Then no request is sent to a cold target
    And the log says target_cold for both

  Scenario: A permit that comes in time is used, and a warm target needs none
    Given a node with 2 warm targets of a service with a cold rate
    When both targets say that they are cold for 0.2 s and a read arrives without a permit
    Then the read waits and is sent within 0.3 s
    And the log says target_warm for both

  Scenario: A target says that it is cold in a service without a cold rate
    # Guards services that have none: nothing changes for them.
    Given a node with 2 warm targets of a service without a cold rate
    When a read arrives and both targets answer their probes as cold for 5 s
    Then the read is sent

  Scenario Outline: A node that does not know the others yet
    # Guards the start of a node in a large fleet, which took the part of one node in 24.
    Given a node that has not heard of the others and <cold> of 2 targets are cold
    Then it <may> send a cold target requests, as one of at least 240 nodes
    When it hears that there are 190 nodes
    Then it may send a cold target requests, as one of at least 190 nodes

    Examples:
      | cold | may     |
      | 1    | may not |
      | 2    | may     |

  Scenario Outline: When a node knows the others
    # Guards the first seconds of a node, and a clock that does not count suspensions.
    Given a node whose exchange started <age> s ago and that has heard of <members> others
    Then it <knows> the number of nodes

    Examples:
      | age | members | knows         |
      | 1.9 | 3       | does not know |
      | 2.1 | 0       | does not know |
      | 2.1 | 3       | knows         |

  Scenario: A partition hides most of the nodes
    # Guards both sides of a partition, each of which would take the whole rate.
    Given a node that knew 190 nodes, with a cold target
    When it knows only 63 nodes for 300 s
    Then it may send a cold target requests, as one of at least 190 nodes

  Scenario Outline: Records say how long a target stays cold
    # Guards a target that turns cold again: a change of nothing else was not passed on.
    Given a target whose record said <first> s at second 0
    When its record with sequence <sequence> says <second> s at second 1
    Then the catalogue <changes> and the target is cold until second <until>

    Examples:
      | first | sequence | second | changes  | until |
      | 3     | 2        | 2      | stays    | 3     |
      | 3     | 2        | 2.05   | stays    | 3     |
      | 3     | 2        | 5      | changes  | 6     |
      | 3     | 2        | 0      | changes  | 1     |
      | 0     | 2        | 4      | changes  | 5     |
      | 3     | 1        | 5      | stays    | 3     |
      | 3     | 0        | 5      | stays    | 3     |
      | 3     | 2        | 1e300  | changes  | 601   |

  Scenario: A record that was on its way does not undo what the target has said since
    Given a node with 2 warm targets of a service with a cold rate
    When a target says that it is cold for 5 s, and then a record that it is warm arrives
    Then the target is still cold

  Scenario Outline: Values of the header
    When a target answers a probe with the cold times <values>
    Then it counts as cold for <cold_s> s and <malformed> headers as malformed

    Examples:
      | values        | cold_s | malformed |
      | 2500          | 2.5    | 0         |
      | 0             | 0      | 0         |
      | 12.5          | 0.0125 | 0         |
      | 999999999     | 600    | 0         |
      | -1            | none   | 1         |
      | 1e9           | none   | 1         |
      | nan           | none   | 1         |
      | 5, 7          | none   | 1         |
      | 9999999999    | none   | 1         |
      | 5 and again 5 | none   | 1         |

  Scenario Outline: Rates in the configuration
    # Guards the whole configuration against one odd value, and permits against intervals of 0 s.
    When a service of the configuration sustains <value> requests a second while its targets are cold
    Then <result>

    Examples:
      | value | result                                 |
      | 4.5   | its cold targets get 4.5 a second      |
      | 0     | its cold targets are not limited       |
      | null  | its cold targets are not limited       |
      | -3    | its cold targets are not limited       |
      | 1e308 | its cold targets get 1000000 a second  |
      | 1e400 | the configuration cannot be used       |
      | "4.5" | the configuration cannot be used       |
      | [4.5] | the configuration cannot be used       |

  Scenario Outline: Targets that crash above their cold rate, with a real node
    # Guards the whole path: what targets say, the permits and the refusals.
    Given a node whose <count> targets of "reads" sustain 4.5 requests a second while they are cold
    When all of them say that they are cold for 3 s, and 60 callers send reads
    Then no target has crashed, and each caller was answered by a target or refused as not run

    Examples:
      | count |
      | 1     |
      | 2     |

  Scenario: Targets that were not protected crash
    # Guards the stand-in: a check that cannot fail shows nothing.
    Given a node whose 1 targets of "reads" sustain any number of requests, and crash while they are cold
    When all of them say that they are cold for 3 s, and 60 callers send reads
    Then a target has crashed
