Feature: The platform's names and formats are translated at one boundary
  Everything inside the product uses its own words; a wrong translation sends requests astray.

  Scenario: No name of the platform stands outside its folder, the stand-ins and deploy/
    Then no module outside the folder uses a header, path or field name of the platform

  Scenario: A configuration becomes routes, services and callers' limits
    Given a configuration with a safe route, an unsafe one and a split
    Then the safe one may be repeated and the unsafe one not
    And the split keeps its weights
    And timeouts, aims, attempts and limits are as configured

  Scenario Outline: A configuration that cannot be used is refused with the reason
    Given a configuration in which <change>
    Then it is refused with a text that holds "<text>"

    Examples:
      | change                                  | text          |
      | "version" of the object is "7"          | version       |
      | a route has the type "sometimes"        | sometimes     |
      | a route has neither service nor split   | neither       |
      | "services" of the object is missing     | services      |

  Scenario Outline: Load reports are read, and malformed ones are ignored
    Then the load header "<value>" gives running <running>, waiting <waiting> and pace <pace>

    Examples:
      | value      | running | waiting | pace |
      | 3,1,6,250  | 3       | 1       | 2.5  |
      | 3,0,8      | 3       | 0       | 1.0  |
      | 3          | none    | 0       | 1.0  |
      | a,b,c,d    | none    | 0       | 1.0  |
      | -1,0,6,100 | none    | 0       | 1.0  |

  Scenario Outline: The time that a caller allows is a decimal number of milliseconds
    # Guards against 400 for a caller that sends a fraction.
    Then the deadline header "<value>" gives <deadline> ms

    Examples:
      | value      | deadline |
      | 1000       | 1000     |
      | 1000.5     | 1000.5   |
      | 0.25       | 0.25     |
      | 1000.      | no       |
      | .5         | no       |
      | 1e3        | no       |
      | 1,000      | no       |
      | -1         | no       |
      | nan        | no       |
      | 1000000000 | no       |

  Scenario: Any entry of a target is translated or names no target
    # Guards against an entry of another writer that ends the node or becomes a wrong target.
    Then for 2000 drawn entries, translation gives a usable instance or none and never fails

  Scenario: Any configuration is translated or refused
    Then for 2000 drawn configurations, translation gives a configuration or a reason and never fails

  Scenario: Any answer of the store is decoded or refused
    Then for 2000 drawn answers of the store, decoding gives objects or a decoding error

  Scenario: Any answer head is read without a fault
    Then for 2000 drawn answer heads, reading marks only the given statuses as not run
