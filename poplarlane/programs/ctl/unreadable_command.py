"""The unreadable command: which objects of the store nodes cannot read."""

import asyncio

import msgspec
from cleo.helpers import argument, option

from poplarlane.addresses import split_address
from poplarlane.outcomes import ResultCode
from poplarlane.plumbing.ctl_client import read_admin
from poplarlane.plumbing.http_call import CallFailure
from poplarlane.programs.ctl.command import CtlCommand, UsageError
from poplarlane.programs.ctl.reports import Report, error_report, success_report, usage_error


class UnreadableEntry(msgspec.Struct):
    """An object that a node cannot read."""

    kind: str
    name: str
    revision: int
    reason: str


class NodeStatus(msgspec.Struct):
    """The fields of a node's status page that the command uses."""

    entry: str
    unreadable: list[UnreadableEntry] = []


STATUS_DECODER = msgspec.json.Decoder(NodeStatus)


class UnreadableCommand(CtlCommand):
    """Show the objects of the store that nodes cannot read, with the reasons."""

    name = "unreadable"
    description = "Show which objects of the store nodes cannot read and why"
    arguments = [argument("node", "Admin addresses of nodes, host:port", multiple=True)]
    options = [option("output", None, "text or json", flag=False, default="text")]

    def checked_report(self) -> Report:
        """Read the status pages; needs neither the platform nor settings."""
        try:
            self.check_usage()
            addresses = [checked_address(text) for text in self.argument("node")]
        except UsageError as error:
            return usage_error(str(error))
        return asyncio.run(unreadable_report(addresses))


def checked_address(text: str) -> tuple[str, int]:
    """Parse the admin address of a node."""
    try:
        return split_address(text)
    except ValueError as error:
        raise UsageError(f"argument node is {text!r}; expected host:port") from error


async def unreadable_report(addresses: list[tuple[str, int]]) -> Report:
    """Report what each node cannot read; fails if a node does not answer."""
    answers = await asyncio.gather(*(read_status(*address) for address in addresses))
    lines, failures, found = [], [], []
    for (address, port), status in zip(addresses, answers, strict=True):
        if isinstance(status, str):
            failures.append(f"node {address}:{port}: no status: {status}")
            continue
        for item in status.unreadable:
            lines.append(
                f"node {status.entry}: {item.kind}/{item.name!r} "
                f"revision {item.revision}: {item.reason}"
            )
            found.append({"node": status.entry, **msgspec.to_builtins(item)})
    if failures:
        return error_report(ResultCode.CHANGE_FAILED, lines + failures, unreadable=found)
    return success_report(lines or ["no unreadable objects"], unreadable=found)


async def read_status(address: str, port: int) -> NodeStatus | str:
    """Read the status of a node; return the reason as text when it cannot be read."""
    body = await read_admin(address, port, "/status")
    if isinstance(body, CallFailure):
        return body.reason
    try:
        return STATUS_DECODER.decode(body)
    except (msgspec.MsgspecError, RecursionError) as error:
        return f"status cannot be read: {error}"
