"""Label selectors: parsing, matching, and which targets a caller may reach.

The syntax is a comma-separated list of requirements that must all hold: `a=b`, `a==b`, `a!=b`,
`a in (x, y)`, `a notin (x)`, `a` (present) and `!a` (absent). An empty selector selects all.
As is usual for label selectors, `a!=b` and `a notin (b)` also select where `a` is absent.
"""

import re
from collections.abc import Mapping
from dataclasses import dataclass

from poplarlane.decisions.access.labels import key_fault, value_fault
from poplarlane.objects import ServiceObject

MAX_SELECTOR_CHARACTERS = 4_096
MAX_CACHED_CALLERS = 1_024
WORD_PATTERN = re.compile(r"[A-Za-z0-9_./-]*")
SPACE_PATTERN = re.compile(r"[ \t]*")
OPERATOR_PATTERN = re.compile(r"==|=|!=|(?:in|notin)(?=[ \t(])")


@dataclass(frozen=True, slots=True)
class InvalidSelector:
    """A syntax error in a selector; `position` counts characters from 1."""

    text: str
    position: int
    expected: str
    found: str

    @property
    def reason(self) -> str:
        """Describe the error in one line."""
        return f"position {self.position}: expected {self.expected}, found {self.found}"


class Selector:
    """A parsed selector.

    `allowed` and `denied` pair a key with values; `present` and `absent` are keys.
    """

    __slots__ = ("text", "allowed", "denied", "present", "absent")

    def __init__(self, text: str) -> None:
        self.text = text
        self.allowed: tuple[tuple[str, frozenset[str]], ...] = ()
        self.denied: tuple[tuple[str, frozenset[str]], ...] = ()
        self.present: tuple[str, ...] = ()
        self.absent: tuple[str, ...] = ()


class SelectorError(Exception):
    """Raised within the parser; `parse` turns it into an `InvalidSelector`."""

    def __init__(self, position: int, expected: str, found: str = "") -> None:
        super().__init__(expected)
        self.position = position
        self.expected = expected
        self.found = found


class Scanner:
    """Scanner for selector tokens; `position` counts from 0."""

    __slots__ = ("text", "position")

    def __init__(self, text: str) -> None:
        self.text = text
        self.position = 0

    def skip_space(self) -> None:
        """Advance to the next non-blank character."""
        self.position = SPACE_PATTERN.match(self.text, self.position).end()

    def at_end(self) -> bool:
        """Return whether only blanks are left."""
        self.skip_space()
        return self.position == len(self.text)

    def take(self, token: str) -> bool:
        """Consume a token if it comes next; return whether it did."""
        self.skip_space()
        if not self.text.startswith(token, self.position):
            return False
        self.position += len(token)
        return True

    def require(self, token: str, expected: str) -> None:
        """Consume a token, or raise an error."""
        if not self.take(token):
            raise self.error(expected)

    def error(self, expected: str) -> SelectorError:
        """Build an error at the current position."""
        rest = self.text[self.position : self.position + 1]
        return SelectorError(self.position, expected, repr(rest) if rest else "end of selector")

    def key(self) -> str:
        """Consume a label key."""
        self.skip_space()
        start = self.position
        word = self.word()
        if not word:
            raise self.error("a label key")
        fault = key_fault(word)
        if fault:
            raise SelectorError(start, "a valid label key", fault)
        return word

    def value(self) -> str:
        """Consume a label value, which may be empty."""
        self.skip_space()
        start = self.position
        word = self.word()
        fault = value_fault(word)
        if fault:
            raise SelectorError(start, "a valid label value", fault)
        return word

    def word(self) -> str:
        """Consume a run of label characters."""
        match = WORD_PATTERN.match(self.text, self.position)
        self.position = match.end()
        return match.group()

    def operator(self) -> str:
        """Consume an operator; the empty string means that none follows."""
        self.skip_space()
        match = OPERATOR_PATTERN.match(self.text, self.position)
        if match is None:
            return ""
        self.position = match.end()
        return match.group()

    def values(self) -> frozenset[str]:
        """Consume a parenthesised list of values."""
        self.require("(", "'('")
        values = [self.listed_value()]
        while self.take(","):
            values.append(self.listed_value())
        self.require(")", "',' or ')'")
        return frozenset(values)

    def listed_value(self) -> str:
        """Consume a value of a list, which must not be empty."""
        value = self.value()
        if not value:
            raise self.error("a label value")
        return value


def parse(text: str) -> Selector | InvalidSelector:
    """Parse a selector; the result is compiled for `matches`."""
    selector = Selector(text)
    scanner = Scanner(text)
    try:
        if len(text) > MAX_SELECTOR_CHARACTERS:
            expected = f"at most {MAX_SELECTOR_CHARACTERS} characters"
            raise SelectorError(MAX_SELECTOR_CHARACTERS, expected, f"{len(text)} characters")
        if scanner.at_end():
            return selector
        parse_requirement(scanner, selector)
        while not scanner.at_end():
            scanner.require(",", "',' or end of selector")
            parse_requirement(scanner, selector)
    except SelectorError as error:
        return InvalidSelector(text, error.position + 1, error.expected, error.found)
    return selector


def parse_requirement(scanner: Scanner, selector: Selector) -> None:
    """Parse one requirement and add it to the selector."""
    if scanner.take("!"):
        selector.absent += (scanner.key(),)
        return
    key = scanner.key()
    operator = scanner.operator()
    if operator in ("=", "=="):
        selector.allowed += ((key, frozenset((scanner.value(),))),)
    elif operator == "!=":
        selector.denied += ((key, frozenset((scanner.value(),))),)
    elif operator == "in":
        selector.allowed += ((key, scanner.values()),)
    elif operator == "notin":
        selector.denied += ((key, scanner.values()),)
    elif scanner.at_end() or scanner.text[scanner.position] == ",":
        selector.present += (key,)
    else:
        raise scanner.error("'=', '==', '!=', 'in', 'notin', ',' or end of selector")


def matches(selector: Selector, labels: Mapping[str, str]) -> bool:
    """Return whether labels satisfy every requirement."""
    for key, values in selector.allowed:
        if labels.get(key) not in values:
            return False
    for key, values in selector.denied:
        if labels.get(key) in values:
            return False
    for key in selector.present:
        if key not in labels:
            return False
    return all(key not in labels for key in selector.absent)


class AccessRule:
    """One named selector pair with the names of the targets that it selects."""

    __slots__ = ("name", "callers", "targets", "target_names")

    def __init__(
        self, name: str, callers: Selector, targets: Selector, target_names: frozenset[str]
    ) -> None:
        self.name = name
        self.callers = callers
        self.targets = targets
        self.target_names = target_names


class Access:
    """Determines which targets of one service revision a caller may reach.

    Results are cached per distinct set of caller labels, because few distinct sets occur.
    """

    __slots__ = ("rules", "cache")

    def __init__(self, rules: tuple[AccessRule, ...]) -> None:
        self.rules = rules
        self.cache: dict[frozenset[tuple[str, str]], frozenset[str]] = {}

    def allowed(self, caller: Mapping[str, str]) -> frozenset[str]:
        """Return the names of the targets that any rule allows; empty means none."""
        key = frozenset(caller.items())
        names = self.cache.get(key)
        if names is None:
            names = self.compute_allowed(caller)
            if len(self.cache) >= MAX_CACHED_CALLERS:
                self.cache.clear()
            self.cache[key] = names
        return names

    def compute_allowed(self, caller: Mapping[str, str]) -> frozenset[str]:
        """Return the union of the targets of every rule that selects the caller."""
        names: frozenset[str] = frozenset()
        for rule in self.matching(caller):
            names |= rule.target_names
        return names

    def matching(self, caller: Mapping[str, str]) -> list[AccessRule]:
        """List the rules that select the caller."""
        return [rule for rule in self.rules if matches(rule.callers, caller)]


def compile_access(service: ServiceObject) -> Access:
    """Compile the selectors of a validated service; raise ValueError when one does not parse."""
    rules = []
    for name, pair in sorted(service.selectors.items()):
        callers = parse_valid(pair.callers)
        targets = parse_valid(pair.targets)
        names = frozenset(
            target for target, held in service.targets.items() if matches(targets, held.labels)
        )
        rules.append(AccessRule(name, callers, targets, names))
    return Access(tuple(rules))


def parse_valid(text: str) -> Selector:
    """Parse a selector that validation has passed."""
    selector = parse(text)
    if isinstance(selector, InvalidSelector):
        raise ValueError(f"selector {text!r}: {selector.reason}")
    return selector
