"""Small states of a node for steps that need no network, clock or process."""

from types import SimpleNamespace

from poplarlane.decisions.admission import limits
from poplarlane.decisions.choice import (
    completion,
    contention,
    slowdowns,
)
from poplarlane.decisions.choice.policies import Measured
from poplarlane.decisions.configuration.directory import (
    Configuration,
    Directory,
    InstanceRecord,
    ServiceRecord,
)
from poplarlane.decisions.configuration.route_table import Route, WeightedService
from poplarlane.decisions.reducer import reduce
from poplarlane.decisions.requests.entry_effects import (
    SendRequest,
)
from poplarlane.decisions.requests.entry_events import (
    CatalogueChanged,
    RequestArrived,
    ResponseMetadata,
)
from poplarlane.decisions.requests.entry_handlers import ENTRY_HANDLERS
from poplarlane.decisions.requests.entry_state import EntryState
from poplarlane.types import Priority, RequestKind, Target, TargetLoad

# Importing these modules registers their handlers with the reducer.
HANDLERS = ENTRY_HANDLERS
NOW = 100.0
SLOTS = 6
READ = RequestKind("read", frozenset(), "/", True, Priority.NORMAL, 4_000, True)


def make_load(name, slowdown=1.0, running=0):
    """Create a target that reported just now."""
    load = TargetLoad(Target(name, "127.0.0.1", 80, "dc", {}, name, "/healthz"))
    load.connection_share = 13
    completion.observe_load_report(load, running, 0, slowdown, NOW)
    return load


def make_request(
    arrived_at=NOW, aim_s=0.3, deadline_s=1.2, service_time_s=0.1, request_id=1, loads=()
):
    """Create a read and the service that it belongs to."""
    bounds = limits.ServiceLimits(SLOTS, 330, 256, 24, list(loads))
    service = SimpleNamespace(
        limits=bounds,
        contention=contention.Contention(),
        slowdowns=slowdowns.Slowdowns(),
        policy=Measured(),
        name="reads",
        caller_deadlines={},
        next_correction_at={},
    )
    return SimpleNamespace(
        request_id=request_id,
        kind=READ,
        service=service,
        arrived_at=arrived_at,
        soft_deadline=arrived_at + aim_s,
        deadline=arrived_at + deadline_s,
        service_time_s=service_time_s,
        tried=[],
        may_use_old_reports=False,
        priority=Priority.NORMAL,
    )


def make_instance(name, service="reads", leaving=False, started_ms=1):
    """Describe one process of a service."""
    number = int(name.split("-")[1])
    return InstanceRecord(
        name, service, "127.0.0.1", 9_000 + number, "dc", "v1", SLOTS, leaving, started_ms, 0.0
    )


def make_configuration(version=1, attempts=2):
    """Describe a configuration with one service and one route."""
    parts = [WeightedService("reads", 1.0)]
    route = Route("r", "h.example", "/", READ, 0.5, attempts, parts)
    return Configuration(version, [route], [ServiceRecord("reads", "/healthz", 330)], None)


def make_directory(count, attempts=2):
    """Create a directory with a configuration and instances."""
    directory = Directory(0.2, "measured")
    directory.update_configuration(make_configuration(attempts=attempts))
    directory.replace_instances([make_instance(f"i-{number}") for number in range(count)], NOW)
    return directory


def make_state(count, attempts=2):
    """Create the state of a node that serves a directory."""
    state = EntryState("node", 1)
    state.policy_name = "measured"
    state.probes_per_target_s = 60.0
    state.extra_sends = 81.0
    found = make_directory(count, attempts).catalogue()
    reduce(CatalogueChanged(NOW, 7, found, 24), state)
    return state


def arrive(state, now=NOW):
    """Let a read arrive; gives the effects."""
    return reduce(RequestArrived(now, 5, 1, "h.example", "GET", "/x", "", 3_000.0, 1, False), state)


def sent(effects):
    """List the targets that a request was sent to."""
    return [effect.target.name for effect in effects if isinstance(effect, SendRequest)]


def metadata(slowdown, running=1):
    """Create the notes of a probe's answer."""
    found = ResponseMetadata()
    found.status = 200
    found.running, found.waiting, found.slowdown = running, 0, slowdown
    return found
