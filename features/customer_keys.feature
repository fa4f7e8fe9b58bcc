Feature: Requests of customers run only with a valid key
  A key that leaks to a target, or a request without one that runs, cannot be taken back.

  Scenario Outline: A request with an unusable key is refused and reaches no target
    # Guards against a key that one parser reads as valid and another one as missing.
    Given a node with the customer "c1" whose keys are "key-1" and "key-2"
    When a caller sends the header lines "<lines>"
    Then it is refused with status 401 and code 1215

    Examples:
      | lines                               |
      | accept: x                           |
      | X-Api-Key: other                    |
      | X-Api-Key:                          |
      | X-Api-Key: key-1;x-api-key: key-1   |
      | X-Api-Key: key-1;X-API-KEY:         |
      | X-Api-Key: key-1, key-2             |
      | X-Api-Key: {8000 bytes}             |
      | X-Api-Key: {257 bytes}              |
      | X-Api-Key: key-1{byte 195}          |
      | X-Tenant-Id: c1                     |
      | X_Api_Key: key-1                    |

  Scenario Outline: A target gets the customer's name once and never a key
    # Guards against a name or key that is smuggled past the node to a target.
    Given a node with the customer "c1" whose keys are "key-1" and "key-2"
    When a caller sends the header lines "<lines>"
    Then the target gets the name "c1" once and no key

    Examples:
      | lines                                                  |
      | X-Api-Key: key-2                                       |
      | x-aPI-kEY: key-1;X-Tenant-Id: c9                       |
      | x-tenant-id: c9;X-TENANT-ID: c8;X-Api-Key: key-1       |
      | X-Api-Key: key-1;Connection: X-Tenant-Id, close        |
      | Connection: x-api-key;X-Api-Key: key-1                 |
      | X-Api-Key: key-1;X_Tenant_Id: c9;X-Tenant_Id: c8       |
      | X-Api-Key: key-1;Host: h.example                       |

  Scenario: A public route needs no key, and its requests belong to no customer
    Given a node with the customer "c1" whose keys are "key-1" and "key-2"
    And the route is public
    When a caller sends the header lines "X-Api-Key: key-1;X-Tenant-Id: c1"
    Then the target gets neither name nor key

  Scenario: Without customers requests need no key, and both headers are removed
    Given a node without customers
    When a caller sends the header lines "X-Api-Key: key-1;X-Tenant-Id: c1"
    Then the target gets neither name nor key

  Scenario: A path without a route gives 404 before the key is looked at
    Given a node with the customer "c1" whose keys are "key-1" and "key-2"
    When a request without a key arrives for another host
    Then it is refused with status 404 and code 1210

  Scenario: A malformed head does not bring a key into a log or an answer
    Then the parser's fault for a bad line with a key does not quote it

  Scenario: Nodes hold and pass on digests of keys
    # Guards against keys in the messages between nodes and in their memory.
    When the store lists a configuration with the key "key-1"
    Then the object has no key and its translation knows the digest of "key-1"

  Scenario Outline: A key in a malformed configuration is not passed on either
    # Guards against keys that reach other nodes in an object that none of them can use.
    When the store lists a configuration whose tenants are <tenants>
    Then the object has no key and is refused

    Examples:
      | tenants                                      |
      | [{"name": "c1", "api_keys": "key-1"}]        |
      | [{"name": "c1", "api_keys": {"a": "key-1"}}] |
      | {"c1": {"api_keys": ["key-1"]}}              |
      | ["key-1"]                                    |
      | "key-1"                                      |

  Scenario: The priority of a customer takes precedence over that of the route
    Given a node with the customer "c1" of priority 0 on a route of priority 2
    When a request of "c1" arrives
    Then it waits with high priority

  Scenario Outline: A removed key ends what has not been sent
    # Guards against requests that run although their key was removed while they waited.
    Given a node with the customer "c1" whose keys are "key-1" and "key-2"
    And a request with "key-1" that <state>
    When the key "key-1" is removed
    Then the request <end>

    Examples:
      | state                        | end                                |
      | waits in the queue           | is refused with 401                |
      | waits for a connection       | is refused with 401 and cancelled  |
      | runs                         | is still running                   |
      | runs and fails               | is refused with 502                |
      | runs and is not executed     | is refused with 401                |
      | runs and should be hedged    | is still running                   |

  Scenario Outline: A key that another customer gets ends what has not been sent
    # Guards against a target that gets the name of the customer that had the key before.
    Given a node with the customer "c1" whose keys are "key-1" and "key-2"
    And a request with "key-1" that <state>
    When the key "key-1" becomes one of "c2"
    Then the request <end>

    Examples:
      | state                    | end                     |
      | waits in the queue       | is refused with 503     |
      | waits for a connection   | is refused with 503     |
      | runs                     | is still running        |
      | runs and is not executed | is refused with 503     |

  Scenario Outline: A request that waits while customers are introduced needs a key from then on
    # Guards against requests that run with a key that no configuration ever held.
    Given a node without customers
    And a request with "<key>" that <state>
    When the first customer gets the key "key-1"
    Then the request <end>

    Examples:
      | key   | state                     | end                 |
      | other | waits in the queue        | is refused with 401 |
      | other | waits for a connection    | is refused with 401 |
      | other | runs and is not executed  | is refused with 401 |
      | other | runs and should be hedged | is still running    |
      | key-1 | waits in the queue        | is refused with 503 |

  Scenario Outline: A node that may have missed a change refuses nothing for good
    # Guards against 401 or 404 for a key or route that a newer configuration has.
    Given a node with the customer "c1" whose keys are "key-1" and "key-2"
    And the configuration was last confirmed <age> s ago by <reached> of 10 nodes
    And revocation is <mode>
    When a request with <key> arrives for <host>
    Then it gets code <code>

    Examples:
      | age | reached | mode   | key     | host    | code |
      | 2.4 | 10      | strict | "new"   | h       | 1215 |
      | 2.6 | 10      | strict | "new"   | h       | 1216 |
      | 2.6 | 10      | strict | "key-1" | h       | 0    |
      | 2.6 | 10      | strict | "new"   | unknown | 1216 |
      | 2.4 | 10      | strict | "new"   | unknown | 1210 |
      | 2.6 | 4       | strict | "key-1" | h       | 1216 |
      | 2.6 | 0       | strict | "key-1" | h       | 1216 |
      | 2.4 | 0       | strict | "key-1" | h       | 0    |
      | 2.6 | 0       | usual  | "key-1" | h       | 0    |
      | 2.6 | 0       | usual  | "new"   | h       | 1216 |

  Scenario: A confirmation that waited while the process was suspended does not count
    # Guards against a removed key that is accepted after a suspension.
    Given a directory whose call to the store began 30 s ago
    When the response arrives
    Then the configuration counts as last confirmed 30 s ago
