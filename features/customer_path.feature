Feature: Customers' keys and quotas with real processes
  Two nodes that exchange messages, the stand-in for the platform's store, and its targets.

  Scenario: A removed key is refused everywhere in time, and no key leaves the nodes
    # Guards the whole path of a key: store, relay, both nodes, targets, logs and status pages.
    Given two nodes with the customers "c1" and "c2"
    When each node gets a request with the key "first-secret" and one without a key
    Then the first ran at a target with the name "c1" and no key, the other got 401
    When the configuration no longer has the key "first-secret"
    Then both nodes refuse it with 401 within 2.5 s and take "other-secret"
    And poplarctl customers shows both customers with a recent digest at both nodes
    And neither log nor status page of the nodes holds a key
    And poplarctl starts shows that both nodes reached all stages, and names the slowest

  Scenario: A customer that sends too much through both nodes is limited to its quota
    Given two nodes with the customers "c1" and "c2"
    When 160 requests of "c2" are sent through both nodes
    Then between 10 and 53 of them ran, and the others got 429 with a time to come back
    And requests of "c1" are served

  Scenario: Nodes whose seeds are all down keep to a quota, and find each other by new settings
    # Guards a loss of all nodes after which each one took itself for the whole fleet (review/8).
    Given two nodes with the customers "c1" and "c2" whose seeds are all down
    When 80 requests of "c1" are sent through both nodes
    Then between 1 and 40 of them ran, and the others got 429 with a time to come back
    When the settings files name the first node as a seed, without a signal
    Then both nodes are in a digest
    When 160 requests of "c2" are sent through both nodes
    Then between 3 and 53 of them ran, and the others got 429 with a time to come back

  Scenario: While the store is away for everybody, known keys are served and no other is refused for good
    # Guards callers whose key the nodes cannot have heard of yet.
    Given two nodes with the customers "c1" and "c2"
    When the store is away for longer than a change may take
    Then both nodes take "first-secret", and answer an unknown key with 503 and code 1216
    When the store is back
    Then both nodes answer an unknown key with 401 again

  Scenario: A node that was suspended while a key was removed does not take it
    # Guards against a table of keys from before a suspension.
    Given two nodes with the customers "c1" and "c2"
    When one node is suspended for 4 s and the key "first-secret" is removed meanwhile
    Then no request with the key runs there after it goes on
