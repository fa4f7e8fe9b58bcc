"""Random choices from the 64 random bits of an event."""

from poplarlane.types import TargetLoad


def pick(draw: int, count: int) -> tuple[int, int]:
    """Derive a number below `count` from the random bits; return it and the remaining bits."""
    return draw % count, draw // count


def sample_targets(loads: list[TargetLoad], count: int, draw: int) -> list[TargetLoad]:
    """Return a random sample of `count` different targets."""
    remaining = list(loads)
    sample = []
    while remaining and len(sample) < count:
        index, draw = pick(draw, len(remaining))
        sample.append(remaining.pop(index))
    return sample
