"""The agent daemon: the control plane process of a VM."""

import asyncio
import gc
import signal

from poplarlane.decisions.membership.agent_events import AgentStopRequested
from poplarlane.logs import log, start_logging
from poplarlane.programs.composition import build_agent
from poplarlane.settings import AgentSettings, settings_from_arguments


def main() -> None:
    settings = settings_from_arguments(AgentSettings, "Run the control plane agent of one VM.")
    start_logging(settings.log_level, daemon=settings.name)
    asyncio.run(run(settings))


async def run(settings: AgentSettings) -> None:
    """Serve until the peers have been notified that this agent leaves."""
    shell, admin = build_agent(settings)
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, lambda: shell.step(AgentStopRequested))
    shell.sockets.bind(settings.listen_address, settings.exchange_port, settings.entry_port)
    await admin.start(settings.listen_address, settings.admin_port)
    # Objects created at start live as long as the process; exclude them from garbage collection.
    gc.freeze()
    log("listening", address=settings.listen_address, port=settings.exchange_port)
    await shell.run()
    admin.close()
    shell.platform.close()
    shell.sockets.close()
    log("stopped")
