Feature: What waits when a service has too few free slots
  Pure functions and reducers; no network, no clock, no process. Each scenario names its pattern.

  Scenario Outline: A burst in which requests of two priorities wait for slots
    # Guards against a lottery for free slots: in a fleet of some hundred nodes each queue is empty or
    # one long, and a view found a free slot as often as a submission that was worth twice as much.
    Given a service whose routes have the priorities <priorities>
    When a request of priority <priority> that can <timing> waits 0.96 s for a slot
    Then it probes targets <rounds> times, give or take 2

    Examples:
      | priorities  | priority | timing     | rounds |
      | high normal | high     | be in time | 80     |
      | high normal | normal   | be in time | 40     |
      | high low    | low      | be in time | 20     |
      | high normal | high     | be late    | 40     |
      | normal      | normal   | be in time | 80     |
      | normal      | normal   | be late    | 80     |

  Scenario: Customers of different priorities share a service
    # Guards against a lottery for free slots among customers, whose priority goes before the route's.
    Given a service with customers of the priorities high and low
    Then its requests count as competing, and without customers they do not

  Scenario Outline: Targets that reject part of what they get whatever their load
    # Guards against leaving free slots unused: three of four targets rejected half of their requests
    # for 8 s, each was paused after each rejection, and the other quarter was crowded.
    Given a service whose routes have the priorities <priorities>
    When a target with <busy> of 6 slots in use rejects the only attempt of a read
    Then the target is <state> and the caller may return within <least> to <most> ms

    Examples:
      | priorities  | busy | state  | least | most |
      | high normal | 0    | usable | 20    | 80   |
      | high normal | 5    | usable | 20    | 80   |
      | high normal | 6    | paused | 150   | 450  |
      | normal      | 0    | paused | 150   | 450  |

  Scenario: A rejection without a load report
    # Guards against sending on to a target that may be full.
    Given a service whose routes have the priorities high normal
    When a target that tells no load rejects the only attempt of a read
    Then the target is paused and the caller may return within 150 to 450 ms
