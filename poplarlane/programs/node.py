"""The node daemon: an entry that follows the platform's store itself, one process on a VM."""

import asyncio
import signal
import sys

from poplarlane.logs import log, start_logging
from poplarlane.programs.composition import build_node, make_settings_watch
from poplarlane.settings import NodeSettings, checked_settings


def main() -> None:
    """Run a node."""
    settings, path = checked_settings(NodeSettings, "Forward requests on the platform.")
    start_logging(settings.log_level, sys.stdout, process=settings.name)
    asyncio.run(run(settings, path))


async def run(settings: NodeSettings, path: str) -> None:
    """Serve until the drain has ended."""
    shell, admin, ready = build_node(settings)
    loop = asyncio.get_running_loop()
    watch = make_settings_watch(settings, path, shell)
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, shell.stop_signalled)
    loop.add_signal_handler(signal.SIGHUP, watch.reload)
    await shell.start()
    watch.start()
    await ready.start(settings.listen_address, settings.ready_port)
    await admin.start(settings.listen_address, settings.admin_port)
    log("listening", address=settings.listen_address, port=settings.listen_port)
    await shell.stopped.wait()
    ready.close()
    admin.close()
    await shell.close()
    log("stopped")


if __name__ == "__main__":
    main()
