"""Check on a new connection whether the process of a target is gone."""

import asyncio
from enum import Enum

import h11

from poplarlane.plumbing.header_names import HeaderNames
from poplarlane.plumbing.heads import read_response_head
from poplarlane.types import Target

# Callers wait for the result after a second crash. A process that is gone is seen in one round
# trip; one that answers later is alive.
CHECK_TIMEOUT_S = 0.1
# The system may close the connections of a process that ends before its listener, so that a check
# is accepted once more. With a single connection features/quarantine_path.feature missed crashes.
REPEAT_PAUSES_S = (0.003, 0.01, 0.03)
READ_BYTES = 16_384


class Finding(Enum):
    """What one connection to a target's address shows."""

    GONE = 1
    ALIVE = 2
    UNCLEAR = 3


async def is_process_gone(target: Target, may_probe: bool, names: HeaderNames, source: str) -> bool:
    """Return whether nothing listens at a target's address, or another instance does.

    A connection that is accepted and then reset, or not answered in time, proves nothing: targets
    that are full and broken links behave like that. A process that ends does so too for a moment,
    so such a check is repeated, without the probe: the allowance of probes was charged for one.
    """
    try:
        async with asyncio.timeout(CHECK_TIMEOUT_S):
            for pause_s in (0.0, *REPEAT_PAUSES_S):
                await asyncio.sleep(pause_s)
                finding = await check_once(target, may_probe, names, source)
                if finding is not Finding.UNCLEAR:
                    return finding is Finding.GONE
                may_probe = False
    except TimeoutError:
        pass
    return False


async def check_once(target: Target, may_probe: bool, names: HeaderNames, source: str) -> Finding:
    """Open a connection, and probe the target on it if that is allowed."""
    try:
        reader, writer = await asyncio.open_connection(
            target.address, target.port, local_addr=(source, 0)
        )
    except ConnectionRefusedError:
        return Finding.GONE
    except OSError:
        return Finding.UNCLEAR
    try:
        if not may_probe or not target.instance or not target.probe_path:
            return Finding.UNCLEAR
        found = await answering_instance(target, names, reader, writer)
    except (OSError, h11.RemoteProtocolError):
        return Finding.UNCLEAR
    finally:
        writer.close()
    if not found:
        return Finding.UNCLEAR
    return Finding.ALIVE if found == target.instance else Finding.GONE


async def answering_instance(
    target: Target,
    names: HeaderNames,
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
) -> str:
    """Probe a target and return which instance answers; empty if the response does not say."""
    parser = h11.Connection(h11.CLIENT)
    request = h11.Request(
        method="GET", target=target.probe_path, headers=[("host", target.address)]
    )
    writer.write(parser.send(request) + parser.send(h11.EndOfMessage()))
    while True:
        event = parser.next_event()
        if type(event) is h11.Response:
            headers = event.headers.raw_items()
            head = read_response_head(event.status_code, event.reason, headers, names)
            return head.metadata.instance
        if event is not h11.NEED_DATA:
            return ""
        parser.receive_data(await reader.read(READ_BYTES))
