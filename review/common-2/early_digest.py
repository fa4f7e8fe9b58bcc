"""Not a case: an agent that reports ready by a message that waited for it before it started.

Usage, after scripts/install: .venv/bin/python review/common-2/early_digest.py
Starts `poplarlane-agent` STARTS times without seeds and without a platform, so that nobody can
verify its view (docs/control.md, 2.1, point 3). A peer that connected before each start has sent
it one ordinary digest, and answers nothing. With TROUBLE=0 the peer sends nothing.
Exits with 1 if the agent reported ready in any start, 0 if in none.
"""

import json
import os
import subprocess
import sys
import tempfile
import time
from pathlib import Path

import msgspec
import zmq

from poplarlane.exchange_messages import Digest, Sender

ROOT = Path(__file__).resolve().parent.parent.parent
STARTS = 20
RUN_S = 1.5
# Ports 24000 and up are those of the features; the host is drawn from this process's id.
EXCHANGE_PORT, ENTRY_PORT, ADMIN_PORT, NOBODY_PORT = 24_300, 24_301, 24_302, 24_303
HOST = f"127.{100 + os.getpid() % 100}.{os.getpid() // 100 % 250}.7"
PEER = Sender("agent-old", 1, "dc-0", HOST, NOBODY_PORT, True)
# A digest that nobody asked for, of a ready peer that holds nothing.
DIGEST = Digest(PEER, 0, 0, bytes(128), bytes(128), [], [], [], 1.0, 1.0)


def start_once(folder: Path, trouble: bool) -> list[str]:
    """Start the agent, stop it after RUN_S, and give its log lines."""
    settings = folder / "agent.json"
    settings.write_text(
        json.dumps(
            {
                "name": "agent-new",
                "data_centre": "dc-0",
                "listen_address": HOST,
                "exchange_port": EXCHANGE_PORT,
                "entry_port": ENTRY_PORT,
                "admin_port": ADMIN_PORT,
                "platform_address": HOST,
                "platform_port": NOBODY_PORT,
                "seed_peers": [],
                "seed": 1,
            }
        )
    )
    context = zmq.Context()
    dealer = context.socket(zmq.DEALER)
    dealer.setsockopt(zmq.LINGER, 0)
    dealer.setsockopt(zmq.RECONNECT_IVL, 1)
    dealer.connect(f"tcp://{HOST}:{EXCHANGE_PORT}")
    if trouble:
        dealer.send(msgspec.msgpack.encode(DIGEST))
    command = [str(ROOT / ".venv/bin/poplarlane-agent"), "--settings", str(settings)]
    log = folder / "log"
    with log.open("w") as stream:
        agent = subprocess.Popen(command, stdout=stream, stderr=subprocess.STDOUT)
        time.sleep(RUN_S)
        agent.terminate()
        agent.wait(10)
    dealer.close(0)
    context.term()
    return log.read_text().splitlines()


def main() -> int:
    """Start the agent several times and print what it logged on being ready."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    ready = 0
    with tempfile.TemporaryDirectory() as folder:
        for number in range(STARTS):
            lines = start_once(Path(folder), trouble)
            if not any("event=listening" in line for line in lines):
                print("\n".join(lines))
                return 2
            found = [line for line in lines if "event=ready" in line]
            ready += bool(found)
            for line in found:
                print(f"start {number}: {line}")
    print(f"reported ready in {ready} of {STARTS} starts")
    return int(ready > 0)


if __name__ == "__main__":
    sys.exit(main())
