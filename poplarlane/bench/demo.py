"""Run a small deployment, send requests with curl, and change a label."""

import subprocess
import sys
import time

from poplarlane.bench.layout import (
    AGENT_ADMIN_PORT,
    ENTRY_PORT,
    PLATFORM_PORT,
    Layout,
)
from poplarlane.bench.processes import Launcher, binary_path

SERVICE = "availability"
HOST = f"{SERVICE}.example"


def main() -> int:
    """Run the demonstration; exit with status 1 when an answer is not as expected."""
    with Launcher() as launcher:
        layout = Layout(launcher)
        start(layout)
        ctl(layout, "apply", service_file(layout), "--wait")
        for vm in layout.vms:
            layout.start_entry(vm)
        served = curl(layout)
        ctl(layout, "set-label", SERVICE, "target-1", "role=resting", "--wait")
        after = [curl(layout) for _ in range(6)]
        ctl(layout, "status")
        stop_entries(layout)
    moved = all("x-target: target-2" in answer for answer in after)
    answered = "HTTP/1.1 200" in served
    print(f"answered={answered} label_change_in_force={moved}")
    return 0 if answered and moved else 1


def start(layout: Layout) -> None:
    """Start a platform, two targets, and two VMs with agents."""
    layout.start_platform()
    for number in (1, 2):
        layout.start_target(f"target-{number}", "local", service_ms=5.0)
    for number in (1, 2):
        layout.add_vm(f"vm-{number}", "local")
    for vm in layout.vms:
        layout.start_agent(vm)
    print(f"started a platform, {len(layout.targets)} targets and {len(layout.vms)} VMs")


def service_file(layout: Layout) -> str:
    """Write the service object that the demonstration applies."""
    labels = {name: {"role": "serving"} for name in layout.targets}
    return layout.launcher.settings_path(SERVICE, layout.service_object(SERVICE, labels))


def ctl(layout: Layout, *words: str) -> None:
    """Run poplarctl and show what it prints."""
    agents = [
        {
            "name": f"agent-{vm.name}",
            "address": vm.address,
            "port": AGENT_ADMIN_PORT,
            "data_centre": vm.data_centre,
        }
        for vm in layout.vms
    ]
    settings = {
        "platform_address": layout.platform_address,
        "platform_port": PLATFORM_PORT,
        "operator": "demo",
        "agents": agents,
    }
    path = layout.launcher.settings_path("ctl", settings)
    run([binary_path("poplarctl"), *words, "--settings", path])


def curl(layout: Layout) -> str:
    """Send one request through the first entry and show the head of the answer."""
    url = f"http://{layout.vms[0].address}:{ENTRY_PORT}/slots"
    # The stand-in target answers with random bytes, which a terminal cannot show.
    head_only = ["-D", "-", "-o", "/dev/null", "-w", "%{size_download} bytes of body"]
    return run(["curl", "-sS", "--max-time", "10", *head_only, "-H", f"Host: {HOST}", url])


def run(command: list[str]) -> str:
    """Run one command, show it with its output, and return the output."""
    shown = " ".join([command[0].rpartition("/")[2], *command[1:]])
    print(f"\n$ {shown}")
    begin = time.monotonic()
    done = subprocess.run(command, capture_output=True, text=True, timeout=30, check=False)
    text = done.stdout + done.stderr
    print(f"{text.rstrip()}\n[exit status {done.returncode}, {time.monotonic() - begin:.2f} s]")
    return text


def stop_entries(layout: Layout) -> None:
    """Stop every entry gracefully and show its exit status."""
    for vm in layout.vms:
        vm.entry.terminate()
        print(f"{vm.entry.name} stopped with exit status {vm.entry.exit_status()}")


if __name__ == "__main__":
    sys.exit(main())
