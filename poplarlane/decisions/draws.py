"""Use the 64 random bits of an event."""

from poplarlane.types import TargetLoad


def pick(draw: int, count: int) -> tuple[int, int]:
    """Take a number below `count` from the random bits; return it and the remaining bits."""
    return draw % count, draw // count


def sample_targets(loads: list[TargetLoad], count: int, draw: int) -> list[TargetLoad]:
    """Draw `count` different targets."""
    left = list(loads)
    drawn = []
    while left and len(drawn) < count:
        index, draw = pick(draw, len(left))
        drawn.append(left.pop(index))
    return drawn
