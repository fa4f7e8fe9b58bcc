"""Hypothesis strategies for labels, selectors and service objects."""

from hypothesis import strategies as st

from poplarlane.objects import (
    ChangeObject,
    RequestKindObject,
    SelectorObject,
    ServiceObject,
    TargetObject,
)

KEYS = ("role", "site", "in", "notin", "tier.a", "x.example/rack")
VALUES = ("a", "b", "in", "v1.0", "x_y-z")
keys = st.sampled_from(KEYS)
values = st.sampled_from(VALUES)
labels = st.dictionaries(keys, values, max_size=4)


class Requirement:
    """Hold one requirement in a form that can be evaluated without the parser."""

    def __init__(self, key, operator, operands):
        self.key = key
        self.operator = operator
        self.operands = operands

    def holds(self, held):
        """Evaluate the requirement as its documentation says."""
        value = held.get(self.key)
        verdicts = {
            "=": value in self.operands,
            "==": value in self.operands,
            "!=": value not in self.operands,
            "in": value in self.operands,
            "notin": value not in self.operands,
            "present": self.key in held,
            "absent": self.key not in held,
        }
        return verdicts[self.operator]

    def text(self, gap):
        """Write the requirement with a gap between tokens."""
        if self.operator == "present":
            return self.key
        if self.operator == "absent":
            return f"!{gap}{self.key}"
        if self.operator in ("in", "notin"):
            listed = f"{gap},{gap}".join(self.operands)
            return f"{self.key} {self.operator}{gap}({gap}{listed}{gap})"
        return f"{self.key}{gap}{self.operator}{gap}{self.operands[0]}"


@st.composite
def requirements(draw):
    """Draw one requirement."""
    operator = draw(st.sampled_from(("=", "==", "!=", "in", "notin", "present", "absent")))
    most = 3 if operator in ("in", "notin") else 1
    operands = draw(st.lists(values, min_size=1, max_size=most))
    return Requirement(draw(keys), operator, operands)


requirement_lists = st.lists(requirements(), max_size=4)


def written(items, gap):
    """Write requirements as a selector."""
    return f"{gap},{gap}".join(item.text(gap) for item in items)


selectors = requirement_lists.map(lambda items: written(items, ""))


@st.composite
def services(draw):
    """Draw a valid service object."""
    revision = draw(st.integers(1, 60))
    names = [f"t{number}" for number in range(draw(st.integers(1, 4)))]
    targets = {
        name: TargetObject(
            address=f"10.0.0.{number + 1}", port=80, data_centre="brasov", labels=draw(labels)
        )
        for number, name in enumerate(names)
    }
    pairs = {
        f"s{number}": SelectorObject(callers=draw(selectors), targets=draw(selectors))
        for number in range(draw(st.integers(0, 3)))
    }
    change = ChangeObject(
        revision=revision, change_id=f"c{revision}", operator="ana", at="", summary="drawn"
    )
    return ServiceObject(
        service="availability",
        revision=revision,
        change_id=f"c{revision}",
        hosts=["availability.example"],
        requests=[RequestKindObject(name="read", methods=["GET"], idempotent=draw(st.booleans()))],
        targets=targets,
        selectors=pairs,
        changes=[change],
    )
