"""Carry out the faults of an experiment at their times."""

import threading
import time
from concurrent.futures import ThreadPoolExecutor
from typing import Any

from poplarlane.bench.experiment import Action, Experiment, Phase, expand
from poplarlane.bench.fleet import (
    DRAIN_NOTICE_MS,
    EXIT_TIMEOUT_S,
    NORMAL_SWITCHES,
    PROXY_ADMIN_PORT,
    Fleet,
    TargetPlace,
    wait_until_ready,
)
from poplarlane.bench.standin_client import call

MAX_ACTIONS_AT_ONCE = 32
DEFAULT_DOWN_MS = 500
DEFAULT_DRAIN_MS = 4_000
ENDLESS_MS = 3_600_000.0


class Event:
    """Record one action; times are seconds of CLOCK_MONOTONIC, `entry` is -1 for other things."""

    __slots__ = (
        "what",
        "subject",
        "entry",
        "planned",
        "at",
        "ended_at",
        "returned_at",
        "signal",
        "fault",
    )

    def __init__(self, what: str, subject: str, entry: int = -1, planned: bool = True) -> None:
        self.what = what
        self.subject = subject
        self.entry = entry
        self.planned = planned
        self.at = time.monotonic()
        self.ended_at = 0.0
        # When the platform's list was told of the target's next incarnation.
        self.returned_at = 0.0
        # The one signal that a target gives when it leaves.
        self.signal = ""
        # Says what went wrong, for example an exit status that is not 0.
        self.fault = ""


def leaving_switches(signal: str, duration_ms: float) -> dict[str, Any]:
    """Give the switches by which a target shows that it is leaving."""
    match signal:
        case "answers":
            return {"drain": True, "drain_notice_ms": ENDLESS_MS, "announce": "answers"}
        case "refusals":
            return {"drain": True, "drain_notice_ms": 0.0, "announce": "refusals"}
        case "closed":
            return {"closed_ms": duration_ms}
        case _:
            raise ValueError(f"unknown signal {signal!r}")


class Schedule:
    """Run the actions of one segment in threads of their own."""

    __slots__ = ("fleet", "events", "pool", "timers", "lock", "faults")

    def __init__(self, fleet: Fleet) -> None:
        self.fleet = fleet
        self.events: list[Event] = []
        self.faults: list[str] = []
        self.pool = ThreadPoolExecutor(MAX_ACTIONS_AT_ONCE)
        self.timers: list[threading.Timer] = []
        self.lock = threading.Lock()

    def plan(self, experiment: Experiment, begin: float) -> None:
        """Set a timer for every action."""
        start_ms = experiment.warm_up_ms
        for phase in experiment.phases:
            for action in self.single_actions(phase):
                at = begin + (start_ms + action.at_ms) / 1000
                delay_s = max(at - time.monotonic(), 0.0)
                timer = threading.Timer(delay_s, self.pool.submit, (self.run, action))
                timer.start()
                self.timers.append(timer)
            start_ms += phase.duration_ms

    def single_actions(self, phase: Phase) -> list[Action]:
        """List the actions of a phase, repeated ones for each of their targets or entries."""
        return [single for action in phase.actions for single in expand(action, self.fleet.layout)]

    def finish(self) -> None:
        """Wait until every action has ended."""
        for timer in self.timers:
            timer.join()
        self.pool.shutdown(wait=True)

    def cancel(self) -> None:
        """Start no further action."""
        for timer in self.timers:
            timer.cancel()
        self.pool.shutdown(wait=True, cancel_futures=True)

    def run(self, action: Action) -> None:
        """Carry out one action and note what goes wrong."""
        try:
            self.carry_out(action)
        except Exception as error:  # An action that fails must not pass unnoticed.
            with self.lock:
                self.faults.append(f"{action.do} {action.service} {action.index}: {error}")

    def carry_out(self, action: Action) -> None:
        """Choose what to do."""
        match action.do:
            case "target":
                for place in self.fleet.find(action.service, action.index):
                    self.note("switch", place.name)
                    self.fleet.control(place, action.body)
            case "proxy":
                self.note("proxy", action.service or "all")
                for place in self.fleet.find(action.service, action.index):
                    self.set_route(place, action)
            case "platform":
                self.note("platform", "platform")
                self.fleet.platform_call("POST", "/v1/faults", action.body)
            case "stop_entry" | "kill_entry":
                self.end_entry(action)
            case "stop_target":
                for place in self.fleet.find(action.service, action.index):
                    self.stop_target(place)
            case "drain_target":
                for place in self.fleet.find(action.service, action.index):
                    self.drain_target(place, action)
            case "leave_target":
                for place in self.fleet.find(action.service, action.index):
                    self.leave_target(place, action)

    def note(self, what: str, subject: str, entry: int = -1, planned: bool = True) -> Event:
        """Record the start of an action."""
        event = Event(what, subject, entry, planned)
        with self.lock:
            self.events.append(event)
        return event

    def set_route(self, place: TargetPlace, action: Action) -> None:
        """Set the faults of the proxy route to one target."""
        answer = call(
            self.fleet.proxy_address,
            PROXY_ADMIN_PORT,
            "POST",
            f"/routes/{place.name}",
            dict(action.body),
        )
        if answer.status != 200:
            raise RuntimeError(f"proxy route {place.name}: {answer.body!r}")

    def end_entry(self, action: Action) -> None:
        """Stop or kill one entry and start it again."""
        vm = self.fleet.vms[action.index]
        planned = action.do == "stop_entry"
        event = self.note(action.do, vm.entry.name, action.index, planned)
        if planned:
            vm.entry.terminate()
            status = vm.entry.exit_status(EXIT_TIMEOUT_S)
            if status != 0:
                event.fault = f"exit status {status}"
        else:
            vm.entry.kill()
        event.ended_at = time.monotonic()
        time.sleep(action.body.get("down_ms", DEFAULT_DOWN_MS) / 1000)
        self.fleet.launch_entry(vm)
        self.fleet.wait_ready([vm.entry])
        wait_until_ready(vm)

    def stop_target(self, place: TargetPlace) -> None:
        """Stop one target as its operators would, and start it again as a new incarnation."""
        self.fleet.control(place, {"drain_notice_ms": DRAIN_NOTICE_MS})
        event = self.note("stop_target", place.name)
        self.fleet.register_target(place, "leaving")
        place.process.terminate()
        status = place.process.exit_status(EXIT_TIMEOUT_S)
        if status != 0:
            event.fault = f"exit status {status}"
        event.ended_at = time.monotonic()
        place.incarnation += 1
        self.fleet.launch_target(place)
        self.fleet.wait_ready([place.process])
        self.bring_back(place, event)

    def drain_target(self, place: TargetPlace, action: Action) -> None:
        """Drain one target for a while without ending its process."""
        event = self.note("drain_target", place.name)
        notice_ms = action.body.get("drain_notice_ms", DRAIN_NOTICE_MS)
        self.fleet.control(place, {"drain": True, "drain_notice_ms": notice_ms})
        self.fleet.register_target(place, "leaving")
        time.sleep(action.body.get("duration_ms", DEFAULT_DRAIN_MS) / 1000)
        event.ended_at = time.monotonic()
        place.incarnation += 1
        self.fleet.control(place, {"drain": False, "drain_notice_ms": 0.0})
        self.bring_back(place, event)

    def leave_target(self, place: TargetPlace, action: Action) -> None:
        """Let one target leave by one signal alone, and return as a new incarnation."""
        duration_ms = action.body.get("duration_ms", DEFAULT_DRAIN_MS)
        signal = action.body["signal"]
        event = self.note("leave_target", place.name)
        event.signal = signal
        if signal == "list":
            self.fleet.register_target(place, "leaving")
        else:
            event.at = self.fleet.control(place, leaving_switches(signal, duration_ms))
        time.sleep(max(event.at + duration_ms / 1000 - time.monotonic(), 0.0))
        event.ended_at = time.monotonic()
        place.incarnation += 1
        if signal == "closed":
            self.fleet.wait_listening(place)
        else:
            self.fleet.control(place, {"drain": False, "drain_notice_ms": 0.0})
        self.bring_back(place, event)

    def bring_back(self, place: TargetPlace, event: Event) -> None:
        """Put the next incarnation of a target on the platform's list."""
        self.fleet.register_target(place, "live")
        event.returned_at = time.monotonic()

    def restore(self) -> None:
        """End every fault after a segment."""
        for place in self.fleet.targets:
            self.fleet.control(place, NORMAL_SWITCHES)
            if self.fleet.proxy_address:
                self.set_route(place, Action(at_ms=0, do="proxy", body={"clear": True}))
