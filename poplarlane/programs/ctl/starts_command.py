"""The starts command: how nodes started, from their status pages, the slowest first."""

import asyncio

import msgspec
from cleo.helpers import option

from poplarlane.addresses import split_address
from poplarlane.outcomes import ResultCode
from poplarlane.plumbing.ctl_client import read_admin
from poplarlane.plumbing.http_call import CallFailure
from poplarlane.programs.ctl.node_pages_command import NodePagesCommand
from poplarlane.programs.ctl.reports import Report, error_report, success_report
from poplarlane.start_timeline import Stage

MOST_SLOW_NODES = 5


class StartStatus(msgspec.Struct):
    """The start of a node as its status page describes it."""

    stages_ms: dict[str, int]
    refused: dict[str, int] = {}
    last_refusal_ms: int | None = None


class NodeStatus(msgspec.Struct):
    """The fields of a node's status page that the command uses."""

    entry: str
    start: StartStatus


STATUS_DECODER = msgspec.json.Decoder(NodeStatus)


class StartsCommand(NodePagesCommand):
    """Show when nodes reached each stage of their start."""

    name = "starts"
    description = "Show when nodes reached each stage of their start, and what they refused"
    options = [option("output", None, "text or json", flag=False, default="text")]

    async def pages_report(self, addresses: list[str]) -> Report:
        """Read the status pages of the nodes and report them."""
        return await read_starts(addresses)


async def read_starts(addresses: list[str]) -> Report:
    """Report the starts of all nodes; fails if no node can be read."""
    pages = await asyncio.gather(
        *(read_admin(*split_address(address), "/status") for address in addresses)
    )
    lines, starts = [], {}
    for address, page in zip(addresses, pages, strict=True):
        status = decoded(page)
        if isinstance(status, str):
            lines.append(f"{address}: {status}")
            continue
        starts[status.entry] = status.start
        lines.append(f"node {status.entry}: {start_text(status.start)}")
    if not starts:
        return error_report(ResultCode.CHANGE_FAILED, lines)
    lines += slowest_lines(starts)
    return success_report(lines, nodes=msgspec.to_builtins(starts))


def decoded(page: bytes | CallFailure) -> NodeStatus | str:
    """Decode a status page; return the reason as text when it cannot be used."""
    if isinstance(page, CallFailure):
        return f"not read: {page.reason}"
    try:
        return STATUS_DECODER.decode(page)
    except msgspec.MsgspecError as error:
        return f"status page not understood: {error}"


def start_text(start: StartStatus) -> str:
    """Format the start of one node."""
    reached = [f"{name} {found} ms" for name, found in start.stages_ms.items()]
    missing = [stage.value for stage in Stage if stage.value not in start.stages_ms]
    parts = [", ".join(reached)]
    if missing:
        parts.append(f"not reached: {', '.join(missing)}")
    if start.refused:
        counts = ", ".join(f"{code} {count}" for code, count in start.refused.items())
        parts.append(f"refused {counts}, the last after {start.last_refusal_ms} ms")
    return "; ".join(parts)


def slowest_lines(starts: dict[str, StartStatus]) -> list[str]:
    """Name the slowest nodes in each stage; nodes that have not reached it come first."""
    lines = []
    for stage in Stage:
        times = [(start.stages_ms.get(stage.value), name) for name, start in starts.items()]
        times.sort(key=lambda item: (item[0] is not None, -(item[0] or 0), item[1]))
        named = [
            f"{name} {'not reached' if found is None else f'{found} ms'}"
            for found, name in times[:MOST_SLOW_NODES]
        ]
        lines.append(f"slowest at {stage.value}: {', '.join(named)}")
    return lines
