"""Start and stop of the stand-in daemons."""

import asyncio
import signal
from collections.abc import Awaitable, Callable

from poplarlane.logs import log, start_logging
from poplarlane.settings import Settings

Start = Callable[[], Awaitable[Callable[[], Awaitable[None]]]]


def run_daemon(settings: Settings, start: Start) -> None:
    """Run until SIGTERM or SIGINT; `start` listens and returns what stops the daemon."""
    start_logging(settings.log_level, daemon=settings.name)
    asyncio.run(serve(start))


async def serve(start: Start) -> None:
    """Start, log `ready`, wait for the signal and stop."""
    loop = asyncio.get_running_loop()
    stopping = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopping.set)
    stop = await start()
    log("ready")
    await stopping.wait()
    log("stopping")
    await stop()
    log("stopped")
