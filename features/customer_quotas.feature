Feature: Customers are limited to their quotas over all nodes together
  A customer that takes more than its quota takes it from the others.

  Scenario: No window exceeds the bound, whatever fails
    # Guards the bound of every window with delays, losses, partitions, restarts, suspensions,
    # surges and changed limits.
    Then in 24 drawn trials no window of a customer exceeds its bound

  Scenario Outline: The trials find faults that are put in by hand
    # Guards against trials that would pass whatever the nodes do.
    When a fault is put in: <fault>
    Then a window of a drawn trial exceeds its bound

    Examples:
      | fault                                    |
      | silent nodes are not charged             |
      | isolated nodes are not limited           |
      | buckets are full after a restart         |

  Scenario: Requests within the quota are hardly ever refused
    Given 40 nodes and customers that use 1 / 1.6 of their quotas
    When 20 seconds pass in the model
    Then less than 0.5% of the requests are refused, and at most 1 of a small customer

  Scenario: A surge gets the quota, and no other customer pays for it
    Given 40 nodes and customers that use 1 / 1.6 of their quotas
    When "c0" sends 7.5 times as much for 6 seconds
    Then it gets 0.9 to 1.1 of its quota in that time
    And less than 0.5% of the requests of the other customers are refused

  Scenario: Lost reports do not hide use
    # Guards against a quota that grows with the loss of messages.
    When two of three reports in a row are lost
    Then the receiver counts all requests once, also if the last one arrives twice

  Scenario: A report or digest of a full size fits into a message
    When a node has counted requests of 1000 customers with names of 30 bytes
    Then its report and its digest are smaller than a section may be
    And the requests of all customers are reported in the end

  Scenario: A request beyond the quota gets 429 after the check of its key
    Given a node whose customer "c1" has used up its quota
    When a request of "c1" arrives with a valid key
    Then it is refused with status 429 and code 1217 and a time to come back
    When a request of "c1" arrives with an unknown key
    Then it is refused with status 401 and code 1215

  Scenario Outline: The quota is charged once for each request of a caller
    Given a node that counts the requests of "c1"
    When a request of "c1" <way>
    Then <used> requests count as used

    Examples:
      | way                                       | used |
      | is answered                               | 1    |
      | is retried after a refusal of its target  | 1    |
      | is hedged                                 | 1    |
      | finds no target                           | 0    |
      | is refused by all targets                 | 0    |
      | is abandoned before it is sent            | 0    |
      | is abandoned while it runs                | 1    |
      | fails after it was sent                   | 1    |

  Scenario: Requests from before a customer had a limit give it nothing back
    # Guards the bound: credit that was never charged would admit as many requests more.
    Given a node that counts the requests of "c1" and has queued 5 without a limit
    When the 5 requests are refused after the customer got a limit
    Then nothing is credited to "c1"

  Scenario: A request that never ran leaves a node without others its tokens
    # Guards against refusals within the quota: the tokens were cut to one.
    Given a node without others whose customer may have 20 requests together
    When one of 2 requests never runs and 18 more arrive
    Then none of them is refused

  Scenario Outline: An operator is told why a request was refused because of its customer
    Then poplarctl explain <text> names the code <code> and needs no settings

    Examples:
      | text           | code |
      | 401            | 1215 |
      | 429            | 1217 |
      | 1216           | 1216 |
      | quota_exceeded | 1217 |

  Scenario: The log lines of a refusal lead to its cause
    Given the log line of a request that got 429 with the cause "isolated"
    When poplarctl trace reads it
    Then it names the customer, the cause and what to look at

  Scenario: Metrics have few series with many customers
    # Guards against a label value for each customer of a large configuration.
    Given a node that got requests of 300 customers
    Then its metrics name 99 customers and count the others together

  Scenario: Nodes that have not found each other yet do not each grant the whole quota
    # Guards the first moments of a fleet, in which every node is the root of its own tree.
    When 3 nodes start for the first time and each gets 70 requests of a customer in 0.45 s
    Then no more than its burst run

  Scenario Outline: Nodes whose seeds are all down keep to each quota together until they meet
    # Guards a loss of all nodes after which each one took itself for the whole fleet (review/8).
    Given <nodes> nodes and customers that use 1 / 1.6 of their quotas
    When all start anew without a live seed and "c0" sends 5 times as much
    Then no window of a customer exceeds its bound before, while and after they find each other
    And "c0" gets 0.8 of its quota at least once they have met

    Examples:
      | nodes |
      | 5     |
      | 40    |
      | 190   |

  Scenario: Nodes with customers but no quotas take part in the exchange
    # Guards known keys during an outage of the store: without digests a node counts as cut off.
    Given a node whose customers have no quotas
    Then it sends reports and digests, and limits nobody
