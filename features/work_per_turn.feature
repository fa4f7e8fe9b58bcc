Feature: Work that one connection may do in one turn of the event loop
  The real connection code, with a loop whose turns and clock the test drives.

  Scenario Outline: Input means the same in one read, in pieces and in reads of some bytes
    # Guards against messages that the division into pieces changes: bodies, ends, refusals, order.
    When <count> drawn streams of <side> arrive in one read, and again in reads of 100 bytes
    Then what was read of each is the same both times

    Examples:
      | side      | count |
      | requests  | 150   |
      | responses | 150   |

  Scenario: Chunks of one byte are worked on in many turns, and nothing is read meanwhile
    # Guards the loop: 64 KB in chunks of one byte held it for 0.11 s at once.
    Given a response that arrives from a target
    When 5000 chunks of 1 byte arrive at once
    Then at most 1 KB of the body is read at once and in each turn, with pauses of twice its work
    And the target is not read from before all 5000 bytes are read

  Scenario: A response whose framing is out of proportion is the target's fault
    # Guards the CPU of a VM: such bodies without end cost 10 us for each byte.
    Given a response that arrives from a target
    When chunks of 1 byte arrive without end
    Then the attempt fails as an invalid answer after at most 40 KB and the connection is closed
    And it is counted as excessive framing of the target

  Scenario: A slow stream of small chunks is no fault
    # Guards event streams: only input that comes in long reads is judged by its framing.
    Given a response that arrives from a target
    When 20000 chunks of 1 byte arrive, 10 at a time
    Then all 20000 bytes are read and the connection is open

  Scenario: A request whose framing is out of proportion is refused
    Given a caller that sends a request in chunks
    When chunks of 1 byte arrive without end
    Then it is refused with 413 and code 1405 after at most 40 KB

  Scenario: Small chunks behind a request that is worked on are put off as well
    # Guards the loop: what was buffered meanwhile was parsed in one turn, up to 128 KB.
    Given a caller whose booking waits behind a read, with 5000 chunks of 1 byte
    When the read is answered
    Then the booking is read in many turns and then worked on

  Scenario Outline: A head of many short lines is refused before it is parsed
    # Guards the loop: a head of 64 KB with 13,000 lines held it for 55 ms.
    When a head of 300 lines arrives from <sender>, <whole>
    Then it is refused as having too many lines

    Examples:
      | sender   | whole     |
      | a caller | complete  |
      | a caller | unfinished |
      | a target | complete  |
      | a target | unfinished |

  Scenario: Messages that wait leave room for other work
    # Guards the loop: receiving returns at once while messages wait.
    Given a socket for messages that listens
    When 1000 messages arrive that take 1 ms each
    Then at most 3 of them are handled in one turn
