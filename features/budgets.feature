Feature: Limits of queues, retries and hedges
  Without bounds, retries and queued work turn a small fault into an overload.

  Scenario Outline: A failing leaf 26 calls deep is not called much more often
    Each level could retry on its own and multiply the calls: 1.1 to the 26th power is 11.9.
    Given a chain of 26 levels with a retry budget of 10% each
    When 5000 requests run through it and the leaf refuses <share> of its calls, seed 5
    Then the leaf is called at most 1.1 times per request, plus the saved-up budget of 10
    And without the markers it would be called at least <without> times per request

    Examples:
      | share | without |
      | 100%  | 2.0     |
      | 50%   | 1.3     |

  Scenario: A request that may have run is only retried when it is idempotent
    Then no outcome, attempt or marker makes a non-idempotent unknown request retriable

  Scenario: Hedges stay within 5% and retries within 10% over any number of requests
    Then for any pattern of requests the extra ones stay within ratio and reserve

  Scenario: Queued requests leave by priority, and low ones leave room for others
    Archive reads must not delay bookings or fill the queue in front of them.
    Given a queue for 8 requests of a service without room
    When 9 low, 9 normal and 9 high requests arrive in this order
    Then 4 low, 2 normal and 2 high ones are queued, the others are refused as not run
    And they leave in the order high, normal, low, first in first out

  Scenario: A request whose deadline cannot be met is refused at once, others are not
    Given a service whose answers take at least 50 ms
    Then a request with 40 ms left is refused as not run and one with 60 ms left is sent
    And after 2 seconds without answers the request with 40 ms left is sent
    When the queue needs 200 ms to empty
    Then a request with 150 ms left is refused as not run and one with 400 ms left is queued

  Scenario: Limits per target are shared by the fleet and do not starve a busy entry
    Given a service with 6 slots and 330 connections per target and 24 entries
    Then an entry keeps at most 13 connections per target
    And it has room for 2 requests at a target that reports no free slot
    And it has room for more at a target that reports free slots, up to its connections
