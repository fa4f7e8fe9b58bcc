"""Handler for halts: times in which this process did not run its event loop.

A VM that is suspended, a process that is stopped and a turn of the loop that takes long look alike:
answers wait in the sockets. Time that passed so tells nothing about the targets, and counted as
their latency it made admission refuse a kind of request for good.
"""

from poplarlane.decisions.effects import Count, Effect
from poplarlane.decisions.reducer import reduce
from poplarlane.decisions.requests.entry_events import ProcessHalted
from poplarlane.decisions.requests.entry_state import EntryState


@reduce.register
def process_halted(event: ProcessHalted, state: EntryState) -> list[Effect]:
    """Take a halt out of all latencies that are being measured, by moving their starts."""
    for attempt in state.attempts.values():
        attempt.spans_halt = True
        if attempt.sent_at:
            attempt.sent_at += event.halt_s
        sent_at = attempt.load.sent_at.get(attempt.attempt_id)
        if sent_at is not None:
            attempt.load.sent_at[attempt.attempt_id] = sent_at + event.halt_s
    for probe in state.probes.values():
        probe.sent_at += event.halt_s
    return [Count("halted_seconds_total", event.halt_s, {})]
