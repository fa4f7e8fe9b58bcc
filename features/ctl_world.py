"""A stand-in platform with one service, and operators who run poplarctl against it."""

import json
import subprocess
import time

from poplarlane.bench.processes import Launcher, binary_path
from poplarlane.bench.standin_client import call

PLATFORM_PORT = 21310
PROXY_PORT = 21311
PROXY_ADMIN_PORT = 21312
SERVICE = "availability"
COMMAND_TIMEOUT_S = 30
EVENT_TIMEOUT_S = 10
POLL_S = 0.01


def service_document(targets: int = 3) -> dict:
    """Build a valid service object with targets t1, t2, ..."""
    return {
        "service": SERVICE,
        "revision": 1,
        "change_id": "initial",
        "hosts": [f"{SERVICE}.example"],
        "requests": [{"name": "read", "methods": ["GET"], "idempotent": True}],
        "targets": {
            f"t{number}": {
                "address": f"10.0.0.{number}",
                "port": 8080,
                "data_centre": "brasov",
                "labels": {"role": "serving"},
            }
            for number in range(1, targets + 1)
        },
        "selectors": {"everyone": {"callers": "", "targets": "role=serving"}},
    }


class World:
    """Run one platform and call it directly or through poplarctl."""

    def __init__(self, launcher: Launcher, **platform: object) -> None:
        self.launcher = launcher
        self.address = launcher.new_host()
        settings = {
            "name": "platform-1",
            "listen_address": self.address,
            "listen_port": PLATFORM_PORT,
            "seed": 7,
        }
        self.process = launcher.start("poplarlane-standin-platform", settings | platform)
        self.settings = self.settings_file("ctl", self.address, PLATFORM_PORT)

    def settings_file(self, name: str, address: str, port: int, **more: object) -> str:
        """Write settings of poplarctl."""
        settings = {"platform_address": address, "platform_port": port, "operator": "ana"}
        return self.launcher.settings_path(name, settings | more)

    def call(self, method, path, document=None, headers=None):
        """Call the platform directly."""
        return call(self.address, PLATFORM_PORT, method, path, document, headers)

    def faults(self, **faults: object) -> None:
        """Set faults of the platform."""
        assert self.call("POST", "/v1/faults", faults).status == 200

    def put(self, kind: str, body: object) -> int:
        """Write an object unconditionally, as another tool would; return its version."""
        answer = self.call("PUT", f"/v1/objects/{kind}/{SERVICE}", body)
        assert answer.status == 200, answer.body
        return answer.json()["version"]

    def stored(self, kind: str = "services") -> dict:
        """Read the stored object."""
        return self.call("GET", f"/v1/objects/{kind}/{SERVICE}").json()["value"]

    def written(self, kind: str, since: int = 0) -> list[dict]:
        """List every kept version of the service after a platform revision."""
        answer = self.call("GET", f"/v1/watch/{kind}?since={since}&wait_ms=0")
        return [change for change in answer.json()["changes"] if change["name"] == SERVICE]

    def calls(self) -> dict:
        """Read the platform's call counts."""
        return self.call("GET", "/v1/calls").json()

    def command(self, *words: str, settings: str | None = None) -> list[str]:
        """Build a command line of poplarctl."""
        return [binary_path("poplarctl"), *words, "--settings", settings or self.settings]

    def start(self, *words: str, settings: str | None = None) -> subprocess.Popen:
        """Start poplarctl without waiting for it."""
        return subprocess.Popen(
            self.command(*words, settings=settings),
            stdin=subprocess.DEVNULL,
            stdout=subprocess.PIPE,
            stderr=subprocess.PIPE,
            text=True,
        )

    def run(self, *words: str, settings: str | None = None) -> subprocess.CompletedProcess:
        """Run poplarctl to its end."""
        return finish(self.start(*words, settings=settings))

    def run_json(self, *words: str, settings: str | None = None) -> dict:
        """Run poplarctl with JSON output and decode it."""
        done = self.run(*words, "--output", "json", settings=settings)
        return json.loads(done.stdout) | {"exit_status": done.returncode}


def finish(process: subprocess.Popen) -> subprocess.CompletedProcess:
    """Wait for a started poplarctl; no run may show a traceback."""
    try:
        stdout, stderr = process.communicate(timeout=COMMAND_TIMEOUT_S)
    except subprocess.TimeoutExpired:
        process.kill()
        process.communicate()
        raise
    assert "Traceback" not in stderr + stdout, stderr
    return subprocess.CompletedProcess(process.args, process.returncode, stdout, stderr)


def wait_until(condition, what: str) -> None:
    """Poll a condition until it holds."""
    deadline = time.monotonic() + EVENT_TIMEOUT_S
    while not condition():
        assert time.monotonic() < deadline, f"never saw {what}"
        time.sleep(POLL_S)
