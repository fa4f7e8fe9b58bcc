Feature: Routes whose requests stay in certain regions
  Event sequences without a network.

  Scenario Outline: No way of choosing a target leaves the allowed regions
    # Guards first attempts, trials, hedges, retries, queued requests and choices after probes.
    Given a route that allows region "ro" before 2 targets in "ro" and 2 in "cz"
    When <what> on that route
    Then a target in "ro" gets it and no target in "cz"

    Examples:
      | what                                  |
      | a read arrives                        |
      | a trial in "cz" is due                |
      | a read is overdue                     |
      | a booking is refused                  |
      | a read waits until all have room      |

  Scenario Outline: There is no capacity in the allowed regions
    # Guards against requests that are sent elsewhere because nothing is left at home.
    Given a route that allows region "<region>" before 2 targets in "ro" and 2 in "cz"
    When <what> on that route
    Then it is refused with code 1218 and no target gets it

    Examples:
      | region | what                                     |
      | de     | a read arrives                           |
      | ro     | a read arrives and all in "ro" have left |
      | ro     | a read arrives and "ro" is evacuated     |
      | ro     | a read finds no room in "ro"             |
      | ro     | a read waits and "ro" is evacuated       |
      | ro     | a read on trial finds no room in "ro"    |
      | RO     | a read arrives                           |

  Scenario Outline: Regions of the route and of the customer apply together
    # Guards against requests that leave the regions that only their customer has.
    Given a customer that allows <customer> on a route that allows <route>
    When a read of that customer finds room only in "cz"
    Then <result>

    Examples:
      | customer | route   | result                                             |
      | ro       | all     | it is refused with code 1218 and no target gets it |
      | ro       | cz      | it is refused with code 1218 and no target gets it |
      | ro       | ro + cz | it is refused with code 1218 and no target gets it |
      | all      | ro      | it is refused with code 1218 and no target gets it |
      | ro + cz  | all     | a target in "cz" gets it                           |

  Scenario: Targets in a data centre whose region is not known
    Given a route that allows region "ro" before 2 targets in "ro" and 2 in "cz"
    When a read arrives and no region is known on that route
    Then it is refused with code 1218 and no target gets it

  Scenario Outline: Regions in the configuration
    When a route of the configuration has the allowed regions <value>
    Then <result>

    Examples:
      | value         | result                        |
      | ["ro", "cz"]  | it allows cz and ro           |
      | null          | it allows all                 |
      | []            | it allows all                 |
      | "ro"          | the configuration is refused  |
      | [7]           | the configuration is refused  |
