"""Steps about properties of the configuration model."""

import msgspec
from behave import then
from hypothesis import given as for_all
from hypothesis import settings
from hypothesis import strategies as st

from features.ctl_generated import (
    KEYS,
    labels,
    requirement_lists,
    services,
    values,
    written,
)
from poplarlane.decisions.access.selectors import InvalidSelector, compile_access, matches, parse
from poplarlane.decisions.configuration import (
    configuration,
    edits,
)
from poplarlane.decisions.configuration.configuration import Accepted, StoredObject
from poplarlane.decisions.configuration.edits import EditConflict
from poplarlane.decisions.configuration.validation import check_service
from poplarlane.objects import ServiceObject, encode_service

NAME = "availability"


def parsed(text):
    selector = parse(text)
    assert not isinstance(selector, InvalidSelector), (text, selector)
    return selector


@for_all(requirement_lists, labels)
def matches_naively(items, held):
    selector = parsed(written(items, ""))
    assert matches(selector, held) == all(item.holds(held) for item in items), selector.text


@for_all(requirement_lists, st.sampled_from((" ", "  ", "\t")))
def spacing_is_free(items, gap):
    tight, wide = parsed(written(items, "")), parsed(gap + written(items, gap) + gap)
    parts = ("allowed", "denied", "present", "absent")
    assert all(getattr(tight, part) == getattr(wide, part) for part in parts)


@for_all(st.one_of(st.text(), st.text(alphabet="ab=!,() intno./-", max_size=30)))
def any_text(text):
    selector = parse(text)
    if isinstance(selector, InvalidSelector):
        assert 1 <= selector.position <= len(text) + 1
        assert selector.expected and selector.found


@for_all(services(), labels)
def access_is_union(service, caller):
    expected = {
        name
        for pair in service.selectors.values()
        for name, target in service.targets.items()
        if matches(parsed(pair.callers), caller) and matches(parsed(pair.targets), target.labels)
    }
    access = compile_access(service)
    assert access.allowed(caller) == expected
    assert access.allowed(dict(reversed(caller.items()))) == expected


def applied(edit, service):
    edited = edits.apply_edit(edit, service, NAME)
    assert isinstance(edited, ServiceObject), edited
    return edited


@for_all(services(), st.lists(st.sampled_from(KEYS), min_size=2, max_size=2, unique=True), values)
def different_labels_merge(service, two, value):
    first, second = (
        edits.bind_expected(edits.set_label("t0", key, value), service, NAME) for key in two
    )
    forward = applied(second, applied(first, service))
    assert forward == applied(first, applied(second, service))
    assert all(forward.targets["t0"].labels[key] == value for key in two)


@for_all(services(), st.sampled_from(KEYS))
def same_label_conflicts(service, key):
    winner, loser = (
        edits.bind_expected(edits.set_label("t0", key, value), service, NAME)
        for value in ("w", "l")
    )
    result = edits.apply_edit(loser, applied(winner, service), NAME)
    assert isinstance(result, EditConflict) and result.current == "w", result


@for_all(services(), st.lists(st.integers(1, 9), min_size=1, max_size=20))
def acceptance_is_monotonic(service, revisions):
    held = None
    for revision in revisions:
        candidate = msgspec.structs.replace(service, revision=revision, changes=[])
        outcome = configuration.accept(held, candidate)
        if isinstance(outcome, Accepted):
            assert held is None or outcome.service.revision > held.revision
            held = outcome.service
    assert held.revision == max(revisions)


@for_all(services(), st.integers(0, 70), st.integers(0, 70), st.booleans())
def next_exceeds_accepted(service, copy_revision, fleet_revision, is_bad):
    copied = msgspec.structs.replace(service, revision=copy_revision, changes=[])
    copy = StoredObject(2 if copy_revision else 0, copied if copy_revision else None, [])
    stored = StoredObject(1, None if is_bad else service, [])
    base = configuration.choose_base(stored, copy, None, fleet_revision)
    if isinstance(base, configuration.BaseUnavailable):
        assert stored.service is None or fleet_revision > service.revision
        assert copy.service is None
        return
    accepted = [copy_revision, fleet_revision]
    # A copy is at most one behind, so a bad object may hide one revision above it.
    accepted.append(copy_revision + 1 if base.recovered else service.revision)
    assert base.next_revision > max(accepted), (base, accepted)


@for_all(services())
def encoding_round_trip(service):
    assert check_service(encode_service(service), NAME) == service


PROPERTIES = {
    "a parsed selector matches as a naive evaluation does": matches_naively,
    "a selector parses the same with other spacing": spacing_is_free,
    "any text parses or is refused at a position within it": any_text,
    "access by labels equals the union over the selectors": access_is_union,
    "edits of different labels give the same object in any order": different_labels_merge,
    "of two edits of one label the second is a conflict": same_label_conflicts,
    "accepting revisions in any order and number ends at the newest": acceptance_is_monotonic,
    "the next revision exceeds every revision that was accepted": next_exceeds_accepted,
    "an encoded valid service passes validation unchanged": encoding_round_trip,
}


@then('the property "{name}" of the configuration model holds for {cases:d} cases')
def step_property(context, name, cases):
    settings(max_examples=cases)(PROPERTIES[name])()
