"""The node daemon: an entry that follows the platform's store itself, one process on a VM."""

import asyncio
import signal
import sys

from poplarlane.logs import log, start_logging
from poplarlane.programs.composition import build_node
from poplarlane.settings import NodeSettings, settings_from_arguments


def main() -> None:
    """Run a node."""
    settings = settings_from_arguments(NodeSettings, "Forward requests on the platform.")
    start_logging(settings.log_level, sys.stdout, process=settings.name)
    asyncio.run(run(settings))


async def run(settings: NodeSettings) -> None:
    """Serve until the drain has ended."""
    shell, admin, ready = build_node(settings)
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, shell.stop_signalled)
    loop.add_signal_handler(signal.SIGHUP, reload_signalled)
    await shell.start()
    await ready.start(settings.listen_address, settings.ready_port)
    await admin.start(settings.listen_address, settings.admin_port)
    log("listening", address=settings.listen_address, port=settings.listen_port)
    await shell.stopped.wait()
    ready.close()
    admin.close()
    await shell.close()
    log("stopped")


def reload_signalled() -> None:
    """Keep the settings in force: all that can change while a node runs is in the store."""
    log("reload_ignored", reason="settings take effect at the next start")


if __name__ == "__main__":
    main()
