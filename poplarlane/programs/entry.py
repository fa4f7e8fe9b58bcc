"""The entry daemon: the proxy between callers and targets."""

import asyncio
import signal

from poplarlane.logs import log, start_logging
from poplarlane.plumbing.turn_meter import TurnMeter, metered_loop
from poplarlane.programs.composition import build_entry
from poplarlane.settings import EntrySettings, settings_from_arguments


def main() -> None:
    settings = settings_from_arguments(EntrySettings, "Run the proxy between callers and targets.")
    start_logging(settings.log_level, process=settings.name)
    meter = TurnMeter()
    with asyncio.Runner(loop_factory=lambda: metered_loop(meter)) as runner:
        runner.run(run(settings, meter))


async def run(settings: EntrySettings, meter: TurnMeter) -> None:
    """Serve until the drain is complete."""
    shell, admin = build_entry(settings, meter)
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
