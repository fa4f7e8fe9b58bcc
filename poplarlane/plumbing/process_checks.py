"""Check on a new connection whether the process of a target is gone."""

import asyncio

import h11

from poplarlane.plumbing.header_names import HeaderNames
from poplarlane.plumbing.heads import read_response_head
from poplarlane.types import Target

# Callers wait for the result after a second crash. A process that is gone is seen in one round
# trip; one that answers later is alive.
CHECK_TIMEOUT_S = 0.1
READ_BYTES = 16_384


async def is_process_gone(target: Target, may_probe: bool, names: HeaderNames, source: str) -> bool:
    """Return whether nothing listens at a target's address, or another instance does.

    A connection that is accepted and then reset, or not answered in time, proves nothing: targets
    that are full and broken links behave like that.
    """
    try:
        async with asyncio.timeout(CHECK_TIMEOUT_S):
            reader, writer = await asyncio.open_connection(
                target.address, target.port, local_addr=(source, 0)
            )
            try:
                if not may_probe or not target.instance or not target.probe_path:
                    return False
                found = await answering_instance(target, names, reader, writer)
                return bool(found) and found != target.instance
            finally:
                writer.close()
    except ConnectionRefusedError:
        return True
    except (OSError, TimeoutError, h11.RemoteProtocolError):
        return False


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
