"""Experiments and layouts as JSON files."""

from pathlib import Path
from typing import Any, Literal

import msgspec

from poplarlane.objects import LimitsObject, ProbeBudgetObject, RequestKindObject
from poplarlane.types import Priority

MAX_SEGMENTS = 200
MAX_SEGMENT_MS = 600_000
ENTRY_ACTIONS = ("stop_entry", "kill_entry")


class KindPlan(msgspec.Struct, forbid_unknown_fields=True, kw_only=True):
    """Describe one kind of request and its share of the service's requests."""

    name: str
    method: str
    path: str
    share: float
    callers: str
    idempotent: bool = False
    priority: Priority = Priority.NORMAL
    deadline_ms: int = 4_000
    hedge: bool = False
    answer_bytes: int = 256

    def as_object(self) -> RequestKindObject:
        """Give the configured form."""
        return RequestKindObject(
            name=self.name,
            methods=[self.method],
            path_prefix=self.path,
            idempotent=self.idempotent,
            priority=self.priority,
            deadline_ms=self.deadline_ms,
            hedge=self.hedge,
        )


class ServicePlan(msgspec.Struct, forbid_unknown_fields=True, kw_only=True):
    """Describe one service: its targets, their speed and the requests."""

    service: str
    targets: int
    service_ms: float
    kinds: list[KindPlan]
    distribution: str = "exponential"
    slots: int = 6
    probe_ms: float = 0.0
    limits: LimitsObject = msgspec.field(default_factory=LimitsObject)
    probe_budget: ProbeBudgetObject = msgspec.field(default_factory=ProbeBudgetObject)

    def capacity_per_s(self) -> float:
        """Give the requests per second that all slots together can serve."""
        return self.targets * self.slots * 1000 / self.service_ms


class LayoutPlan(msgspec.Struct, forbid_unknown_fields=True, kw_only=True):
    """Describe the deployment of one firm; `delay_ms` is one way between data centres."""

    firm: str
    data_centres: list[str]
    delay_ms: float
    entries: int
    services: list[ServicePlan]
    connect_ms: float = 1.0


class Action(msgspec.Struct, forbid_unknown_fields=True, kw_only=True):
    """Describe a fault at a time after the start of its phase.

    `target` and `proxy` send `body` to the control interface of one target (all without an
    index) or of its proxy route; `platform` sets platform faults; `leave_target` lets a target
    leave by the one `signal` of its body (`list`, `answers`, `refusals` or `closed`) for
    `duration_ms`; the others act on processes. With `every_ms` the action is repeated at that
    interval, once for each target of the layout, or for each entry if it is about entries.
    """

    at_ms: int
    every_ms: int = 0
    do: Literal[
        "target",
        "proxy",
        "platform",
        "stop_entry",
        "kill_entry",
        "stop_target",
        "drain_target",
        "leave_target",
    ]
    service: str = ""
    index: int = -1
    body: dict[str, Any] = {}


class Phase(msgspec.Struct, forbid_unknown_fields=True, kw_only=True):
    """Describe a span of load under one fault; `fault` names it in the results."""

    fault: str
    duration_ms: int
    actions: list[Action] = []


class Variant(msgspec.Struct, forbid_unknown_fields=True, kw_only=True):
    """Describe what is compared: settings that entries get, or what runs in their place.

    `passthrough` starts the bare pass-through; `direct` lets callers reach the targets, which
    needs a layout with one service.
    """

    name: str
    settings: dict[str, Any] = {}
    passthrough: bool = False
    direct: bool = False

    def needs_agents(self) -> bool:
        """Tell whether the variant runs poplarlane's own entries."""
        return not (self.passthrough or self.direct)


class Aim(msgspec.Struct, forbid_unknown_fields=True, kw_only=True):
    """Bound the p99 of a policy under a fault, in multiples of another policy's p99.

    With `over` equal to `bound` it is compared with the lower bound of a central queue.
    """

    fault: str
    policy: str
    over: str
    at_most: float


class Experiment(msgspec.Struct, forbid_unknown_fields=True, kw_only=True):
    """Hold one experiment; `noise_variant` names the variant that runs twice.

    `targets_share` scales the number of targets of each service; `entries` and `service_ms`
    replace those of the layouts. `strict_cuts` counts answers of unknown outcome as cut, for runs
    with planned stops only. Above 0, `max_leaving_s` bounds the time from a signal's arrival at any
    VM to the last new request at the leaving target, and `max_return_s` the time from the listing
    of a target's next incarnation to its first request. `aims` are checked at the end.
    `cancel_share` of the callers leave after `cancel_after_ms`.
    """

    name: str
    layouts: list[str]
    variants: list[Variant]
    phases: list[Phase]
    noise_variant: str = ""
    seeds: list[int]
    repeats: int = 1
    load: float = 0.7
    warm_up_ms: int = 2_000
    workers: int = 2
    entries: int = 0
    service_ms: float = 0.0
    targets_share: float = 1.0
    max_requests: int = 1_000_000
    through_proxy: bool = False
    cancel_share: float = 0.0
    cancel_after_ms: float = 20.0
    strict_cuts: bool = False
    max_leaving_s: float = 0.0
    max_return_s: float = 0.0
    aims: list[Aim] = []

    def duration_ms(self) -> int:
        """Give the length of one segment."""
        return self.warm_up_ms + sum(phase.duration_ms for phase in self.phases)


class InvalidExperiment(Exception):
    """Report a fault in an experiment file in one line."""


def load_experiment(path: str) -> tuple[Experiment, list[LayoutPlan]]:
    """Read an experiment and its layouts, which are named relative to it."""
    experiment = decode(Path(path), Experiment)
    check_bounds(experiment)
    layouts = [decode(Path(path).parent / name, LayoutPlan) for name in experiment.layouts]
    for layout in layouts:
        scale(layout, experiment)
        check_times(experiment, layout)
    return experiment, layouts


def decode(path: Path, kind: type) -> Any:
    """Decode one file."""
    try:
        return msgspec.json.decode(path.read_bytes(), type=kind)
    except OSError as error:
        raise InvalidExperiment(f"{path}: {error.strerror}") from error
    except msgspec.MsgspecError as error:
        raise InvalidExperiment(f"{path}: {error}") from error


def check_bounds(experiment: Experiment) -> None:
    """Refuse experiments without an end in sight."""
    if not experiment.variants or not experiment.phases or not experiment.seeds:
        raise InvalidExperiment("an experiment needs variants, phases and seeds")
    if experiment.duration_ms() > MAX_SEGMENT_MS:
        raise InvalidExperiment(f"the phases take more than {MAX_SEGMENT_MS} ms")
    count = len(experiment.variants) * len(experiment.seeds) * experiment.repeats
    if count * len(experiment.layouts) > MAX_SEGMENTS:
        raise InvalidExperiment(f"the experiment has more than {MAX_SEGMENTS} segments")


def expand(action: Action, layout: LayoutPlan) -> list[Action]:
    """List the single actions that a repeated one stands for."""
    if action.every_ms <= 0:
        return [action]
    if action.do in ENTRY_ACTIONS:
        places = [("", number) for number in range(layout.entries)]
    else:
        places = spread_targets(layout)
    return [
        msgspec.structs.replace(
            action,
            at_ms=action.at_ms + number * action.every_ms,
            every_ms=0,
            service=service,
            index=index,
        )
        for number, (service, index) in enumerate(places)
    ]


def spread_targets(layout: LayoutPlan) -> list[tuple[str, int]]:
    """Order all targets so that those of each service come at even intervals."""
    placed = [
        ((index + 0.5) / service.targets, service.service, index)
        for service in layout.services
        for index in range(service.targets)
    ]
    return [(service, index) for _, service, index in sorted(placed)]


def check_times(experiment: Experiment, layout: LayoutPlan) -> None:
    """Refuse actions that would begin after the end of their phase."""
    for phase in experiment.phases:
        for action in phase.actions:
            last = max(single.at_ms for single in expand(action, layout))
            if last > phase.duration_ms:
                raise InvalidExperiment(
                    f"{action.do} at {last} ms is after the end of phase {phase.fault!r}"
                )


def scale(layout: LayoutPlan, experiment: Experiment) -> None:
    """Apply the experiment's size to a layout."""
    layout.entries = experiment.entries or layout.entries
    for service in layout.services:
        service.service_ms = experiment.service_ms or service.service_ms
        service.targets = max(round(service.targets * experiment.targets_share), 1)


def segment_variants(experiment: Experiment) -> list[Variant]:
    """List the variants of one round, the noise variant a second time under its own name."""
    again = [
        msgspec.structs.replace(variant, name=f"{variant.name} (again)")
        for variant in experiment.variants
        if variant.name == experiment.noise_variant
    ]
    return experiment.variants + again
