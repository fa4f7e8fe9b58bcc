Feature: Memory that is held for callers
  The real connection code, without a network: bodies of requests, and responses that wait.

  Scenario: A body is held once while it is read and forwarded
    # Guards the VM's memory: one upload within max_body_bytes existed four times.
    Given a caller's connection with room for a body of 16 MB
    When the caller sends a body of 16 MB and a target takes it
    Then at most 1.3 times its size was allocated
    And the target got it whole

  Scenario: A body that finds no room waits, and is read when there is room
    # Guards back-pressure: refusing comes only after waiting.
    Given two callers and room for one body of 16 MB
    When both send a body of 16 MB
    Then the first one is worked on and the second one is not read from
    When the first one is answered
    Then both are worked on and all memory is accounted for

  Scenario: A body that finds no room in time is refused, and nobody else
    # Guards the others: only the sender of the body is refused, with a true "not run".
    Given two callers and room for one body of 16 MB
    When both send a body of 16 MB
    And 2.1 s pass for the callers
    Then the second one gets status 503 and was not worked on
    And another caller's body of 1 KB is worked on
    When the first one is answered
    Then no memory is held

  Scenario: A caller that leaves while its body waits makes room for the next
    # Guards against a queue that a departed caller blocks.
    Given two callers and room for one body of 16 MB
    When both send a body of 16 MB
    And the first caller leaves
    Then the second one is worked on and all memory is accounted for

  Scenario: Chunks of one byte cost no more than their bytes
    # Guards memory against callers that choose the smallest parts.
    Given a caller's connection with room for a body of 1 MB
    When the caller sends 200 KB in chunks of one byte
    Then the parts of the body are at most 5

  Scenario: Responses that are not read count as held
    # Guards memory in the other direction: slow readers of large responses.
    Given a caller's connection with room for a body of 1 MB
    When the caller does not read 2 MB of its response
    Then 2 MB are held and another caller's read is refused with 503
    When the caller has read it
    Then no memory is held

  Scenario: A response that arrives slowly counts as held
    # Guards memory against many responses that are each below the size at which they are streamed.
    Given a caller's connection with room for a body of 1 MB
    When 200 KB of the response to its read have arrived
    Then 200 KB are held
    When that attempt is cancelled
    Then no memory is held

  Scenario: While memory is short, a response is not collected up to the limit for streaming
    # Guards memory: 500 responses of 200 KB each took 100 MB, and nothing stopped more of them.
    Given a caller's connection with room for a body of 1 MB
    When 2 MB are held and 70 KB of the response to its read have arrived
    Then the response is streamed from then on

  Scenario: Chunks of two bytes of a response cost no more than their bytes
    # Guards memory: each chunk was an object of 41 bytes, and the account counted two.
    Given a caller's connection with room for a body of 1 MB
    When 200 KB of the response to its read have arrived in chunks of 2 bytes
    Then the parts of the response are at most 5

  Scenario: A large body in chunks leaves room for small ones
    # Guards the others: a body of unknown length took the room that is kept for small bodies.
    Given a caller's connection with room for a body of 1 MB
    When the caller sends chunks of 50 KB until it is refused
    Then it got status 503 and another caller's body of 60 KB found room meanwhile
