"""The quarantine command: which requests crash their targets, from the status of nodes."""

import asyncio
import json
from typing import Any

from cleo.helpers import argument, option

from poplarlane.number_grammar import port_number
from poplarlane.outcomes import ResultCode
from poplarlane.plumbing.http_call import CallResponse, call
from poplarlane.programs.ctl.command import CtlCommand, UsageError
from poplarlane.programs.ctl.reports import Report, error_report, success_report, usage_error

TIMEOUT_S = 3.0


class QuarantineCommand(CtlCommand):
    """Show the requests that have crashed targets, as each node knows them."""

    name = "quarantine"
    description = "Show the requests in quarantine, from the status pages of nodes"
    arguments = [argument("node", "Admin address of a node, HOST:PORT", multiple=True)]
    options = [option("output", None, "text or json", flag=False, default="text")]

    def checked_report(self) -> Report:
        """Ask the nodes; needs neither the platform nor settings."""
        try:
            self.check_usage()
            addresses = [parsed(text) for text in self.argument("node")]
        except UsageError as error:
            return usage_error(str(error))
        return report(asyncio.run(ask(addresses)))


def parsed(text: str) -> tuple[str, int]:
    """Split an address."""
    host, found, port = text.rpartition(":")
    number = port_number(port)
    if not found or not host or isinstance(number, str):
        raise UsageError(f"{text} is not HOST:PORT")
    return host, number


async def ask(addresses: list[tuple[str, int]]) -> dict[str, list[dict[str, Any]] | str]:
    """Read the quarantine of each node, or why it could not be read."""
    found = await asyncio.gather(*(ask_node(host, port) for host, port in addresses))
    names = (f"{host}:{port}" for host, port in addresses)
    return dict(zip(names, found, strict=True))


async def ask_node(host: str, port: int) -> list[dict[str, Any]] | str:
    """Read the quarantine of one node."""
    answer = await call(host, port, "GET", "/status", {}, b"", TIMEOUT_S)
    if not isinstance(answer, CallResponse):
        return answer.reason
    if answer.status != 200:
        return f"status {answer.status}"
    try:
        items = json.loads(answer.body)["quarantine"]
        for item in items:
            show(item)
        return items
    except (ValueError, KeyError, TypeError, RecursionError):
        return "the status has no quarantine"


def show(item: dict[str, Any]) -> str:
    """Format one request."""
    targets = ",".join(item["targets"])
    return (
        f"{item['digest']} {item['state']} route={item['route']} targets={targets} "
        f"terms={item['terms']} ends_in_s={item['ends_in_s']}"
    )


def report(found: dict[str, list[dict[str, Any]] | str]) -> Report:
    """Report what the nodes know; fails if a node could not be asked."""
    lines = []
    for name, items in sorted(found.items()):
        if isinstance(items, str):
            lines.append(f"{name}: not read: {items}")
        else:
            lines += [f"{name}: {show(item)}" for item in items] or [f"{name}: nothing"]
    if any(isinstance(items, str) for items in found.values()):
        return error_report(ResultCode.CHANGE_FAILED, lines, nodes=found)
    return success_report(lines, nodes=found)
