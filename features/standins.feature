Feature: The stand-ins' fault switches take effect
  A switch without effect would let every test and experiment that relies on it pass unnoticed.

  Scenario: The proxy delays, drops, resets, truncates, half-closes and partitions
    Given a stand-in target behind a stand-in proxy
    Then a request through the proxy is answered
    And with proxy fault {"delay_ms": 300} a request takes at least 300 ms
    And with proxy fault {"drop_to_upstream": true} no request reaches the target and it times out
    And with proxy fault {"drop_to_client": true} the request reaches the target and times out
    And with proxy fault {"reset_share": 1.0} the connection is reset
    And with proxy fault {"truncate_share": 1.0, "truncate_after": 20} the answer has 20 bytes
    And with proxy fault {"half_close": true} the answer is whole and the stream then ends
    And a partition refuses new connections and freezes an open one until it heals

  Scenario: The pyzmq relay loses the seeded share of messages and keeps clients apart
    Given a pyzmq echo behind a stand-in relay with seed 7
    Then without loss two clients get all 200 of their own messages back
    And with relay fault {"loss_to_upstream": 0.2} between 120 and 190 of 200 messages come back
    And with relay fault {"loss_to_upstream": 0.0, "loss_to_client": 1.0} nothing comes back

  Scenario: The platform stand-in applies conditions, watches, rates and faults
    Given a stand-in platform with 50 writes per second and a VM list lag of 400 ms
    Then a conditional update with an old version gets 412 and the current object
    And a create over an existing object gets 412
    And a value that is not JSON comes back as raw base64
    And a value over 1 MB gets 413
    And a watch returns the value of a later change and one forgotten revision gets 410
    And 80 writes at once are partly refused with 429 and all counted for their caller
    And a lost answer still takes effect
    And stale reads show the past
    And an outage gives 503
    And a registered VM appears only after the lag

  Scenario: The target stand-in applies its switches
    Given a stand-in target with 2 slots of fixed 100 ms
    Then its answer carries the request id, the checksum of the body and the load
    And four requests at once take two service times
    And slow factor 3 triples the service time
    And fail-fast answers 500 at once
    And shedding refuses with x-not-run
    And a frozen, a lying and a lagging report differ from the load
    And a closed connection cancels a running request and drops a queued one
    And a passed deadline ends a running request and refuses a queued one
    And a probe takes time in a slot and is counted
    And a call chain calls the next host with a smaller deadline
    And draining announces itself, then refuses new work and finishes the old
    And it exits with status 0 when it is stopped
