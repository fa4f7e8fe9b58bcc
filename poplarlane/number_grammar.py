"""The grammar of numbers in texts from outside: headers, addresses and options.

RFC 9110 has whole numbers of decimal digits, and the platform's pages allow a fraction. A number
has no sign, exponent or separator; white space around it does not count (RFC 9110, 5.5). Each
function returns the reason as text when a number is set aside.
"""

import re

# Enough for all digits of a binary fraction; Python refuses integers of more than 4,300 digits.
MAX_CHARACTERS = 100
# 11 days in milliseconds; no sender counts or waits for more.
MAX_NUMBER = 999_999_999
MAX_BYTES = (1 << 63) - 1
MAX_PORT = 65_535
DECIMAL = re.compile(rb"[0-9]+(?:\.[0-9]+)?")
HEXADECIMAL = re.compile(rb"[0-9A-Fa-f]+")
WHITE_SPACE = b" \t"


def whole_number(text: bytes, highest: int = MAX_NUMBER) -> int | str:
    """Parse a whole number."""
    text = text.strip(WHITE_SPACE)
    if not text.isdigit() or len(text) > MAX_CHARACTERS:
        return fault_of(text, "not a whole number")
    number = int(text)
    return number if number <= highest else f"larger than {highest}"


def decimal_number(text: bytes, highest: int = MAX_NUMBER) -> float | str:
    """Parse a number that may have a fraction."""
    text = text.strip(WHITE_SPACE)
    if len(text) > MAX_CHARACTERS or not DECIMAL.fullmatch(text):
        return fault_of(text, "not a decimal number")
    number = float(text)
    return number if number <= highest else f"larger than {highest}"


def chunk_size(text: bytes) -> int | str:
    """Parse the size of a chunk in hexadecimal digits (RFC 9112, 7.1)."""
    text = text.strip(WHITE_SPACE)
    if len(text) > MAX_CHARACTERS or not HEXADECIMAL.fullmatch(text):
        return fault_of(text, "not a hexadecimal number")
    number = int(text, 16)
    return number if number <= MAX_BYTES else f"larger than {MAX_BYTES}"


def port_number(text: str) -> int | str:
    """Parse a port, which is never 0."""
    found = whole_number(text.encode("utf-8", "replace"), MAX_PORT)
    return "0 is not a port" if found == 0 else found


def fault_of(text: bytes, fault: str) -> str:
    """Return why a text is set aside that is too long or does not match the grammar."""
    return f"longer than {MAX_CHARACTERS} characters" if len(text) > MAX_CHARACTERS else fault
