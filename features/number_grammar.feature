Feature: Numbers of other programs are read by one grammar
  Digits, for some numbers with a fraction; no sign, exponent or separator; bounds on length and value.

  Scenario Outline: What counts as a number
    # Guards review case 10: a rate with 17 digits was ignored. Texts that no sane sender uses must
    # neither be guessed at nor end the handling of what holds them.
    Then every place that reads a number takes "<text>" as whole <whole> and decimal <decimal>

    Examples:
      | text                                     | whole     | decimal               |
      | 7                                        | 7         | 7                     |
      | 3.3333333333333335                       | no        | 3.3333333333333335    |
      | 2.3000000000000003                       | no        | 2.3000000000000003    |
      | 0.1000000000000000055511151231257827     | no        | 0.1                   |
      | 007                                      | 7         | 7                     |
      | 000.50                                   | no        | 0.5                   |
      | 0                                        | 0         | 0                     |
      | 999999999                                | 999999999 | 999999999             |
      | 1000000000                               | no        | no                    |
      | 999999999.5                              | no        | no                    |
      | <spaces>7<tab>                           | 7         | 7                     |
      | 1 2                                      | no        | no                    |
      | 1e3                                      | no        | no                    |
      | 1E-3                                     | no        | no                    |
      | +1                                       | no        | no                    |
      | -1                                       | no        | no                    |
      | -0                                       | no        | no                    |
      | <empty>                                  | no        | no                    |
      | .5                                       | no        | no                    |
      | 5.                                       | no        | no                    |
      | 1.2.3                                    | no        | no                    |
      | 1_0                                      | no        | no                    |
      | 0x10                                     | no        | no                    |
      | nan                                      | no        | no                    |
      | inf                                      | no        | no                    |
      | Infinity                                 | no        | no                    |
      | ٣                                        | no        | no                    |
      | ²                                        | no        | no                    |
      | <10^400>                                 | no        | no                    |
      | <10^5000>                                | no        | no                    |
      | <100 zeros and 1>                        | no        | no                    |

  Scenario Outline: A number that is set aside is logged once for an answer, with the reason
    # Guards operators who look for the sender of a malformed header.
    When a target sends the header "<header>" with "<value>"
    Then one line with the header "<header>" and the reason "<reason>" is logged

    Examples:
      | header              | value             | reason                      |
      | server-limit        | 1e3               | not a decimal number        |
      | server-limit        | <10^400>          | longer than 100 characters  |
      | retry-after         | 1000000000        | larger than 999999999       |
      | x-cold-remaining-ms | -1                | not a decimal number        |
      | server-leaving      | 2                 | not 1                       |
      | x-server-load       | <10^400>,0,6,100  | longer than 100 characters  |
      | x-server-load       | 3,0,6,            | not a whole number          |
      | keep-alive          | timeout=<10^5000> | longer than 100 characters  |

  Scenario Outline: A chunk size that is no number is refused at once
    # Guards against one request that kept a node busy for good: a negative size moved the parser
    # back to the line that holds it.
    Then the body "<body>" in chunks is refused as "<reason>"

    Examples:
      | body                            | reason                             |
      | -14             \r\nXX          | chunk size is not a hexadecimal number |
      | +5\r\nXXXXX                     | chunk size is not a hexadecimal number |
      | 0x5\r\nXXXXX                    | chunk size is not a hexadecimal number |
      | 1_0\r\nXXXXX                    | chunk size is not a hexadecimal number |
      | \r\nXXXXX                       | chunk size is not a hexadecimal number |
      | ffffffffffffffffffffffff\r\nX   | chunk size is larger than              |
      | 5;a=b\r\nXXXXX\r\n0\r\n-1: a    |                                    |
      | 5 \r\nXXXXX\r\n000\r\n\r\n      |                                    |

  Scenario: A negative chunk size does not halt a node
    Given a node with 2 targets of the service "reads" and 1 of "books"
    When a caller sends a body in chunks with the size line "-14             "
    And a caller sends 3 reads one after the other
    Then every one of them is answered with status 200

  Scenario Outline: Settings with numbers out of range are refused with a line that names them
    # Guards against an error without a key, at start or when the file changes.
    When a node's settings have "<key>" as <value>
    Then they are refused with "<named>"

    Examples:
      | key                  | value                  | named             |
      | front                | "127.0.0.1:65536"      | front             |
      | front                | "127.0.0.1:0"          | front             |
      | store                | "1.2.3:80"             | store             |
      | seeds                | ["127.0.0.1:99999"]    | seeds             |
      | memory_mb            | 1e308                  | memory_mb         |
      | extra_sends          | 1e400                  | extra_sends       |
      | extra_sends_window_s | -0.0                   | extra_sends_window_s |
      | seed                 | <10^5000>              | seed              |
      | fleet_size           | 1.5                    | fleet_size        |
