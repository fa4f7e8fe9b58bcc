Feature: Bad input is refused within a bound and costs other callers nothing

  Background:
    Given an entry with short timeouts before 1 stand-in target

  Scenario: Malformed requests are refused and never reach a target
    Then each malformed request gets a 4xx, 501 or a closed connection, and a log line
      | shape                         |
      | two content-lengths           |
      | two equal content-lengths     |
      | a content-length list         |
      | length with chunked           |
      | chunked then length           |
      | a folded header               |
      | a bare LF in the head         |
      | a bare CR in a value          |
      | a space before the colon      |
      | an oversized head             |
      | an oversized body             |
      | a bad chunk size              |
      | chunked with a bare LF at end |
      | an unknown transfer coding    |
      | two hosts                     |
      | CONNECT                       |
      | a request target without path |
      | an unreadable deadline        |
    And no malformed request is in the ledger of the target
    And a well-formed request is answered by the entry

  Scenario Outline: A slow or endless request is ended within its bound
    When a caller sends <shape> to the entry
    Then that caller is refused or closed within 3 s
    And a well-formed request is answered by the entry

    Examples:
      | shape               |
      | a head byte by byte |
      | a body byte by byte |
      | endless chunks      |
      | nothing at all      |

  Scenario: A booking behind a read runs once the read is answered
    # Guards at-most-once: a caller sends what was behind a closing answer once more.
    When a caller pipelines a booking behind a read
    Then the caller gets both answers in their order on one connection
    And the ledger of the target holds the read and then the booking, once each

  Scenario: A booking behind a read that closes the connection is not run
    When a caller pipelines a booking behind a read that is the last of its connection
    Then the caller gets one answer and a closed connection
    And only the read is in the ledger of the target

  Scenario: Hop-by-hop headers stay on their hop
    When a caller sends a header that its connection header names
    Then the target of the entry got neither of them

  Scenario: Invalid answers never look like answers of the target
    Then each invalid answer gives status 502 with an unknown outcome and a closed connection
      | shape                          |
      | two content-lengths            |
      | length with chunked            |
      | a folded header                |
      | a bare LF in the head          |
      | an answer without a length     |
      | an answer of HTTP/1.0 by close |
      | status 101                     |
      | a bad chunk                    |
      | an answer to another request   |
      | an endless head                |

  Scenario: Connections that are not clean are not used again
    Then each of these answers is delivered and its connection closed
      | shape                      |
      | extra bytes                |
      | connection close           |
      | HTTP/1.0 with a length     |
      | an unexpected 100          |
    And bytes on an idle connection close it before the next request

  Scenario: A request that was refused goes to its target again on another connection
    # Guards REFUSED: a refusal that the target sends once more on that connection bears the same id, and
    # would be taken for the answer to the second attempt.
    When a caller sends a read to the raw target, which refuses each attempt
    Then the caller is told that it was not run
    And no two attempts of it used one connection of the raw target
