"""The entry daemon: the proxy between callers and targets."""

import asyncio
import signal

from poplarlane.logs import log, start_logging
from poplarlane.programs.composition import build_entry
from poplarlane.settings import EntrySettings, settings_from_arguments


def main() -> None:
    settings = settings_from_arguments(EntrySettings, "Run the proxy between callers and targets.")
    start_logging(settings.log_level, process=settings.name)
    asyncio.run(run(settings))


async def run(settings: EntrySettings) -> None:
    """Serve until the drain is complete."""
    shell, admin = build_entry(settings)
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, shell.stop_signalled)
    await shell.start()
    await admin.start(settings.listen_address, settings.admin_port)
    log("listening", address=settings.listen_address, port=settings.listen_port)
    await shell.stopped.wait()
    admin.close()
    await shell.close()
    log("stopped")
