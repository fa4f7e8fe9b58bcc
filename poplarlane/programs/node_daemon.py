"""The node daemon: an entry that watches the platform's store itself, one process per VM.

After a loss of all nodes, no requests are served until one has started, which takes most of a
second on a third of a core. Modules that serving requests does not need are therefore loaded later.
"""

import asyncio
import gc
import signal
import socket
import sys
import time

from poplarlane.logs import load_eliot, log, start_logging_early
from poplarlane.plumbing.acceptor import listen_early
from poplarlane.plumbing.turn_meter import TurnMeter, metered_loop
from poplarlane.settings import NodeSettings, checked_settings
from poplarlane.start_timeline import Stage, StartTimeline

# Delays that let the first returning callers be served before the remaining modules are loaded.
LOAD_LOGS_AFTER_S = 4.0
LOAD_METRICS_AFTER_S = 5.0


def start(early_reloads: list[int]) -> None:
    """Run a node; `early_reloads` holds the signals to reload that arrived before."""
    # Garbage collections during the start find nothing to free.
    gc.disable()
    timeline = StartTimeline(time.monotonic)
    settings, path = checked_settings(NodeSettings, "Run a proxy that watches the store.")
    timeline.reach(Stage.SETTINGS)
    start_logging_early(settings.log_level, sys.stdout, process=settings.name)
    listener = listen_early(settings.listen_address, settings.listen_port)
    meter = TurnMeter()
    with asyncio.Runner(loop_factory=lambda: metered_loop(meter)) as runner:
        runner.run(run(settings, path, listener, early_reloads, meter, timeline))


async def run(
    settings: NodeSettings,
    path: str,
    listener: socket.socket,
    early_reloads: list[int],
    meter: TurnMeter,
    timeline: StartTimeline,
) -> None:
    """Serve until the drain is complete."""
    from poplarlane.programs.composition import build_node, make_settings_watch

    shell, admin, ready = build_node(settings, meter, timeline)
    loop = asyncio.get_running_loop()
    watch = make_settings_watch(settings, path, shell)
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, shell.stop_signalled)
    loop.add_signal_handler(signal.SIGHUP, watch.reload)
    await shell.start(listener)
    if early_reloads:
        watch.reload()
    watch.start()
    await ready.start(settings.listen_address, settings.ready_port)
    await admin.start(settings.listen_address, settings.admin_port)
    timeline.reach(Stage.LISTENING)
    log("listening", address=settings.listen_address, port=settings.listen_port)
    # By timer and not on readiness: a node without its store must not run on without collections.
    loop.call_later(LOAD_LOGS_AFTER_S, gc.enable)
    loop.call_later(LOAD_LOGS_AFTER_S, load_eliot)
    loop.call_later(LOAD_METRICS_AFTER_S, shell.metrics.load)
    await shell.stopped.wait()
    ready.close()
    admin.close()
    await shell.close()
    log("stopped")
