Feature: Numbers of other programs are read by one grammar
  Digits, for some numbers with a fraction; no sign, exponent or separator; bounds on length and value.

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
