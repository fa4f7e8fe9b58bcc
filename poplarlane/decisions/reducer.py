"""The one reducer over all events."""

from functools import singledispatch
from typing import Any

from poplarlane.decisions.effects import Effect


@singledispatch
def reduce(event: Any, state: Any) -> list[Effect]:
    """Apply one event to the state and return the effects to execute."""
    raise TypeError(f"no handler for event {type(event).__name__}")
