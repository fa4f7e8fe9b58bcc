"""Random choices from the 64 random bits of an event."""

from poplarlane.types import TargetLoad


def pick(random_value: int, count: int) -> tuple[int, int]:
    """Derive a number below `count` from the random bits; return it and the remaining bits."""
    return random_value % count, random_value // count


def sample_targets(loads: list[TargetLoad], count: int, random_value: int) -> list[TargetLoad]:
    """Return a random sample of `count` different targets."""
    remaining = list(loads)
    sample = []
    while remaining and len(sample) < count:
        index, random_value = pick(random_value, len(remaining))
        sample.append(remaining.pop(index))
    return sample
