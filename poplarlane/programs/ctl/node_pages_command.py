"""Base class of the commands that read the status pages of nodes."""

import asyncio

from cleo.helpers import argument

from poplarlane.addresses import is_socket_address
from poplarlane.programs.ctl.command import CtlCommand, UsageError
from poplarlane.programs.ctl.reports import Report, usage_error


class NodePagesCommand(CtlCommand):
    """A command that needs neither the platform nor settings."""

    arguments = [argument("node", "Admin addresses of nodes, IP:PORT", multiple=True)]

    def check_usage(self) -> None:
        """Check the output and the addresses."""
        super().check_usage()
        for address in self.argument("node"):
            if not is_socket_address(address):
                raise UsageError(f"argument node is {address!r}; expected IP:PORT")

    def checked_report(self) -> Report:
        """Report from the status pages."""
        try:
            self.check_usage()
        except UsageError as error:
            return usage_error(str(error))
        return asyncio.run(self.pages_report(self.argument("node")))

    async def pages_report(self, addresses: list[str]) -> Report:
        """Read the status pages of the nodes and report them."""
        raise NotImplementedError
