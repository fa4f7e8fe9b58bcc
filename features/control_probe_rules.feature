Feature: Probe results are shared, and the rules of the budget hold in rare orders of events
  The holder of a grant probes for the whole fleet; what it learns is of use only where callers are
  served, and rare orders of events need many more runs than real processes allow.

  Scenario: Probe results and unreachable targets reach the entries of other VMs
    # Guards against results that stay at the holder: the others would probe or guess instead.
    Given a probing fleet of 3 agents, 0 spare VMs and a target that refuses probes
    And at most 4 probes per second per target are allowed
    Then a listener in place of an entry hears of the refusing target at every VM

  Scenario: Without a budget no probe is sent
    # Guards against a default that probes targets whose operator never allowed it.
    Given a probing fleet of 2 agents, 0 spare VMs and a target that refuses probes
    And one service has no budget and another one allows 4 probes per second
    When 5 probes for the second service have arrived
    Then no probe for the first service has arrived

  Scenario: Contending processes that all believe to be first choice never exceed the budget
    # Guards against orders of events that real processes reach rarely: writes that take effect
    # after their caller gave up, pauses between a check and its act, probes that arrive late.
    Given contending agents with pauses, slow and lost calls, outages and restarts
    When each of 60 seeds runs for 90 seconds of virtual time
    Then two probes never arrive closer together than the budget allows
    And targets were probed under several grants

  Scenario: Targets that move between services and services that enter a shard keep the interval
    # Guards against two holders that both probe a target while a change is under way: the grants of
    # two shards do not exclude each other.
    Given targets that move between services of two shards, and services that stop to be probed
    When each of 60 seeds runs for 120 seconds of virtual time
    Then two probes never arrive closer together than the budget allows
    And targets were probed under several grants

  Scenario Outline: The budget holds in a handover with the worst clocks and delays
    # Guards against a margin that is missing and that random delays hardly ever use up: clocks that
    # run 2% apart, a late answer, probes of the longest flight, an eager successor, and a process
    # that is paused after it released its grant with connections half open.
    Given a holder whose grant of 10 seconds <ends> while it probes 60 targets <rate> times a second
    When the second agent takes the grant over
    Then two probes never arrived closer together than the rate allows
    And both agents probed every target

    Examples:
      | ends                   | rate |
      | is cut off from renewal | 1    |
      | is cut off from renewal | 100  |
      | is released in a stop   | 1    |
      | is released in a stop   | 100  |

  Scenario: A holder that was cut off learns of a move before it probes again
    # Guards against a grant sought by a view from before the silence: the target that moved meanwhile
    # is already probed by the holder of another shard.
    Given a holder that is cut off for 20 seconds while its only target moves to another shard
    When both agents run for 40 seconds of virtual time
    Then the target was probed by both agents and never twice within the interval

  Scenario: A probe whose grant ends while its connection is opened is not sent
    # Guards against a check before the connection: the process may be paused until it is open.
    Given a target that records the probes that it gets
    When a probe is made whose grant ends while the connection is opened, and one in time
    Then the target got only the probe in time
    And the kernel drops a probe that is not acknowledged within 1000 ms

  Scenario: A grant is written under its condition, and its time is from before the write
    # Guards against a shell that loses what the rules of the grant rest on.
    Given an agent whose platform notes when a grant is written and on what condition
    When the agent writes a grant over version 7
    Then the write was on condition of version 7
    And the grant counts from a time before the write

  Scenario: Holders spread evenly, and a shard without services that may be probed has none
    # Guards against one agent that holds many shards, and against grants that nobody needs.
    Given 64 shards of services and fleets of 3, 24 and 85 agents
    Then no agent is the first choice for two shards more than another one
    And the loss of an agent moves at most 8 shards of others
    When an agent holds the grant of a shard whose last service stops to be probed
    Then it releases the grant and seeks it again only when a service may be probed

  Scenario: A holder of many targets probes all of them, with a bound per tick
    # Guards against bursts that stall the agent, and against targets that always come last.
    Given an agent that holds a grant for 2000 targets and may probe each 4 times a second
    When it runs for 40 seconds of virtual time
    Then no tick sent more than 64 probes
    And every target got as many probes as any other, give or take one

  Scenario: What a paused or replaced process sends late is refused
    # Guards against results of a lapsed grant, and messages of a predecessor of the same name.
    Given an agent that heard of a grant with term 5 from a peer with incarnation 9
    When results with terms 5, 4 and 6 arrive and then a message of incarnation 8
    Then only the results with terms 5 and 6 are passed on
    And a result of another service of the shard with term 5 is refused, and one with 6 is not
    And the message of incarnation 8 changes nothing
