Feature: Hedges of slow reads
  The decisions of one entry run against modelled targets, with an event queue in place of sockets.

  Scenario: The delay of a hedge counts from the sending
    # Guards against a read without a hedge because its delay passed while the connection was opened.
    Given an entry that has read 60 times from 2 modelled targets of 2 ms
    When target-1 takes 400 ms to answer and 30 ms to connect, and is chosen for a read
    Then the read is hedged once, its delay after the first byte was sent

  Scenario: A hedge without room is sent once a second target has room
    # Guards against a read that waits for its slow target because the hedge was tried only once.
    Given an entry that has read 60 times from 2 modelled targets of 2 ms
    When target-1 takes 400 ms, is chosen for a read, and target-2 has no room for 50 ms
    Then the read is answered by target-2 as soon as that has room

  Scenario: A hedge that waits for room ends with its read
    # Guards against a request that is sent to a target after its caller has its answer.
    Given an entry that has read 60 times from 2 modelled targets of 2 ms
    When target-1 takes 20 ms, is chosen for a read, and target-2 has no room for 50 ms
    Then the read is answered by target-1 and no hedge is sent

  Scenario: One of two targets that is slow does not use up the hedge budget
    # Guards against a slow target that keeps half of the reads because all of them are cancelled
    # early: with a hedge for each second read the budget runs out and reads wait for the target.
    Then with any of the seeds 1 to 50, 40 reads past a target of 400 ms take less than 300 ms each

  Scenario: Timers of ended reads do not pile up
    # Guards against a turn of the event loop that drops thousands of them and delays all callers.
    Given an entry that has read 60 times from 2 modelled targets of 2 ms
    Then no more than 4 timers are left
    When a read of 400 ms ends after 200 reads that began later
    Then at most 4 timers per read were dropped, and after 100 reads no more than 4 are left
