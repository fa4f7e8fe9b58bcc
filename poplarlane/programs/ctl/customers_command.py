"""The customers command: quotas, use and refusals of customers, from the nodes' status pages."""

import asyncio

import msgspec
from cleo.helpers import option

from poplarlane.addresses import split_address
from poplarlane.outcomes import ResultCode
from poplarlane.plumbing.ctl_client import read_admin
from poplarlane.plumbing.http_call import CallFailure
from poplarlane.programs.ctl.node_pages_command import NodePagesCommand
from poplarlane.programs.ctl.reports import Report, error_report, success_report


class CustomerStatus(msgspec.Struct):
    """A customer as one node sees it."""

    rate_per_s: float = 0.0
    burst: float = 0.0
    keys: int = 0
    arrived: int = 0
    used: int = 0
    refused: dict[str, int] = {}
    admitted_share: float = 1.0
    tokens: float = 0.0


class QuotaStatus(msgspec.Struct):
    """The quotas as one node sees them."""

    digest_age_s: float | None = None
    is_isolated: bool = True
    is_root: bool = False
    nodes: int = 0
    customers: dict[str, CustomerStatus] = {}


class NodeStatus(msgspec.Struct):
    """The fields of a node's status page that the command uses."""

    entry: str
    quotas: QuotaStatus | None = None


STATUS_DECODER = msgspec.json.Decoder(NodeStatus)


class CustomersCommand(NodePagesCommand):
    """Show what customers may use, use and are refused."""

    name = "customers"
    description = "Show the quotas of customers, their use and refusals, as nodes see them"
    options = [
        option("customer", None, "Only this customer", flag=False),
        option("output", None, "text or json", flag=False, default="text"),
    ]

    async def pages_report(self, addresses: list[str]) -> Report:
        """Read the status pages of the nodes and report them."""
        return await read_nodes(addresses, self.option("customer"))


async def read_nodes(addresses: list[str], customer: str | None) -> Report:
    """Report the customers of all nodes; fails if no node can be read."""
    pages = await asyncio.gather(
        *(read_admin(*split_address(address), "/status") for address in addresses)
    )
    lines, nodes = [], {}
    for address, page in zip(addresses, pages, strict=True):
        status = decoded(page)
        if isinstance(status, str):
            lines.append(f"{address}: {status}")
            continue
        nodes[status.entry] = msgspec.to_builtins(status.quotas)
        lines += node_lines(status, customer)
    if not nodes:
        return error_report(ResultCode.CHANGE_FAILED, lines)
    return success_report(lines, nodes=nodes)


def decoded(page: bytes | CallFailure) -> NodeStatus | str:
    """Decode a status page; return the reason as text when it cannot be used."""
    if isinstance(page, CallFailure):
        return f"not read: {page.reason}"
    try:
        status = STATUS_DECODER.decode(page)
    except msgspec.MsgspecError as error:
        return f"status page not understood: {error}"
    return status if status.quotas is not None else "the configuration has no customers"


def node_lines(status: NodeStatus, customer: str | None) -> list[str]:
    """Format the customers of one node, those with the most refusals first."""
    quotas = status.quotas
    age = "none" if quotas.digest_age_s is None else f"{quotas.digest_age_s:.1f} s old"
    state = ", isolated" if quotas.is_isolated else ", root" if quotas.is_root else ""
    lines = [f"node {status.entry}: digest {age}, {quotas.nodes} nodes{state}"]
    order = sorted(
        quotas.customers.items(), key=lambda item: (-sum(item[1].refused.values()), item[0])
    )
    return lines + [customer_line(*item) for item in order if customer in (None, item[0])]


def customer_line(name: str, found: CustomerStatus) -> str:
    """Format one customer."""
    quota = f"{found.rate_per_s:g}/s burst {found.burst:g}" if found.rate_per_s else "no quota"
    refused = ", ".join(f"{cause} {count}" for cause, count in found.refused.items() if count)
    return (
        f"  {name}: {quota}, {found.keys} keys, arrived {found.arrived}, used {found.used}, "
        f"refused {refused or 'none'}, admitted share {found.admitted_share:.2f}, "
        f"tokens {found.tokens:.0f}"
    )
