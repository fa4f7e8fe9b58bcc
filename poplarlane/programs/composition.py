"""Composition root: builds every daemon from its settings."""

import ipaddress
import math
import random
import secrets
import time
from collections import Counter
from typing import TYPE_CHECKING

from poplarlane.addresses import split_address
from poplarlane.decisions.cold.cold_permits import cold_tolerance
from poplarlane.decisions.cold.cold_targets import limited_targets
from poplarlane.decisions.configuration.directory import Directory
from poplarlane.decisions.customers import usage_report
from poplarlane.decisions.customers.buckets import Tolerance
from poplarlane.decisions.customers.section import CustomersSection
from poplarlane.decisions.membership.relays import (
    BATCH_DELAY_FRACTION,
    WATCH_WAIT_FRACTION,
    Member,
    RelayState,
)
from poplarlane.decisions.quarantine.convictions import most_important
from poplarlane.decisions.quarantine.section import QuarantineSection
from poplarlane.decisions.requests.entry_handlers import ENTRY_HANDLERS
from poplarlane.decisions.requests.entry_state import EntryState
from poplarlane.metrics import AdminRequest, AdminResponse, AdminServer, Metrics, json_response
from poplarlane.platform import store
from poplarlane.platform.headers import PLATFORM_HEADERS
from poplarlane.platform.translation import (
    CONFIGURATION_NAME,
    configuration_of,
    instance_of,
    version_of,
)
from poplarlane.plumbing.directory_sync import DirectorySync, Translation
from poplarlane.plumbing.entry_shell import EntryShell
from poplarlane.plumbing.fleet_exchange import FleetExchange
from poplarlane.plumbing.object_follower import ObjectFollower
from poplarlane.plumbing.pauses import clock
from poplarlane.plumbing.platform_client import PlatformClient
from poplarlane.plumbing.settings_watch import SettingsWatch
from poplarlane.plumbing.turn_meter import TurnMeter
from poplarlane.settings import (
    AgentSettings,
    EntrySettings,
    NodeSettings,
    seeded_generator,
)
from poplarlane.start_timeline import StartTimeline
from poplarlane.types import Verdict

if TYPE_CHECKING:
    from poplarlane.decisions.membership.agent_state import AgentState
    from poplarlane.plumbing.agent_shell import AgentShell
    from poplarlane.plumbing.relay import Relay

# Importing these modules registers their handlers with the reducer.
HANDLERS = ENTRY_HANDLERS
# Used share of the allowed retries and hedges; the rest is a margin for restarted nodes, each of
# which starts with a budget of its own.
EXTRA_SENDS_SHARE = 0.9
# Used share of the allowed probes.
PROBE_RATE_SHARE = 0.9
# Timeouts do not grow: a call that started while the store was not answering must not delay a
# configuration beyond apply_limit_s.
STORE_MAX_TIMEOUT_FACTOR = 1.0
# A burst of configuration changes needs a few calls per second.
STORE_CALLS_PER_S = 20.0
# The first port of the range is used by the admin server.
EXCHANGE_PORT_OFFSET = 1
# Objects of three kinds may be read at once, and each response is held twice while it is decoded.
STORE_RESPONSE_SHARE = 1 / 8
BYTES_PER_MB = 1_000_000
# Settings that a node reloads without a restart.
RELOADED_KEYS = frozenset(
    {
        "drain_accept_ms",
        "grace_s",
        "probes_per_target_s",
        "extra_sends",
        "extra_sends_window_s",
        "cold_overage",
        "cold_slack",
        "seeds",
    }
)
# Time for the last responses to reach their callers before the platform kills the process.
NODE_EXIT_RESERVE_S = 0.4
# Some JSON parsers represent integers beyond 53 bits inexactly.
PROCESS_BITS = 52
# Distinguishes the processes that use the same name one after the other.
EPOCH_BITS = 32


class Network:
    """A trusted network."""

    __slots__ = ("network",)

    def __init__(self, text: str) -> None:
        self.network = ipaddress.ip_network(text)

    def contains(self, address: str) -> bool:
        """Return whether the address belongs to the network."""
        return ipaddress.ip_address(address) in self.network


def build_entry(settings: EntrySettings, meter: TurnMeter) -> tuple[EntryShell, AdminServer]:
    state = EntryState(settings.name, time.time_ns())
    state.policy_name = settings.policy
    state.hedged_reads = settings.hedged_reads
    state.delay_s_by_data_centre = {
        name: delay / 1000.0 for name, delay in settings.data_centre_delay_ms.items()
    }
    state.drain_accept_s = settings.drain_accept_ms / 1000.0
    state.drain_limit_s = settings.drain_limit_ms / 1000.0
    metrics = Metrics()
    # The tracing libraries take 10 MB and are not needed by a node.
    from poplarlane.traces import new_tracer

    tracer = new_tracer(settings.tracing, settings.name)
    networks = [Network(text) for text in settings.trusted_sources]

    from poplarlane.plumbing.agent_link import AgentLink

    def make_link(shell: EntryShell) -> AgentLink:
        return AgentLink(settings.agent_address, settings.agent_port, shell.view_received)

    shell = EntryShell(settings, state, metrics, tracer, networks, make_link, meter=meter)
    return shell, AdminServer(metrics, entry_pages(shell))


def build_node(
    settings: NodeSettings, meter: TurnMeter, timeline: StartTimeline
) -> tuple[EntryShell, AdminServer, AdminServer]:
    """Build a node, its admin server and its readiness server."""
    state = EntryState(settings.name, time.time_ns())
    state.policy_name = settings.policy
    apply_node_settings(state, settings)
    state.other_data_centre_s = settings.other_data_centre_delay_ms / 1000.0
    state.data_centre = settings.data_centre
    state.quarantine.enabled = True
    state.quarantine.has_peers = bool(settings.exchange_ports)
    state.fleet.add(QuarantineSection(state))
    state.region_of = {settings.data_centre: settings.region, **(settings.zones or {})}
    state.confirmed_at = -math.inf
    add_quotas(state, settings)
    metrics = Metrics(defer_load=True)
    networks = [Network(text) for text in settings.trusted_sources]
    entry = entry_settings(settings)

    def make_link(shell: EntryShell) -> DirectorySync:
        return make_keeper(settings, shell)

    shell = EntryShell(
        entry, state, metrics, None, networks, make_link, PLATFORM_HEADERS, meter, timeline
    )
    pages = entry_pages(shell)
    ready = AdminServer(metrics, {settings.ready_path: pages["/_ready"]})
    return shell, AdminServer(metrics, pages), ready


def add_quotas(state: EntryState, settings: NodeSettings) -> None:
    """Add the section that counts and limits the use of customers' quotas."""
    tolerance = Tolerance(settings.quota_window_s, settings.quota_overage, settings.quota_slack)
    epoch = secrets.randbits(EPOCH_BITS)
    state.quotas = CustomersSection(state, tolerance, settings.bootstrap, epoch)
    state.fleet.add(state.quotas)


def apply_node_settings(state: EntryState, settings: NodeSettings) -> None:
    """Apply the settings that may change while a node runs."""
    state.drain_accept_s = settings.drain_accept_ms / 1000.0
    state.drain_limit_s = settings.grace_s - NODE_EXIT_RESERVE_S
    state.probes_per_target_s = settings.probes_per_target_s * PROBE_RATE_SHARE
    state.extra_sends = settings.extra_sends * EXTRA_SENDS_SHARE
    state.extra_sends_window_s = settings.extra_sends_window_s
    state.cold_tolerance = cold_tolerance(settings.cold_overage, settings.cold_slack)
    state.apply_limit_s = settings.apply_limit_s
    state.strict_revocation = settings.strict_revocation
    others = [seed for seed in seed_addresses(settings) if seed != settings.listen_address]
    state.fleet.expects_others = bool(settings.exchange_ports and others)


def seed_addresses(settings: NodeSettings) -> list[str]:
    """Return the IP addresses of the seeds."""
    return [split_address(seed)[0] for seed in settings.seeds]


def make_settings_watch(settings: NodeSettings, path: str, shell: EntryShell) -> SettingsWatch:
    """Build the watch that reloads the settings file."""

    def apply(found: NodeSettings) -> frozenset[str]:
        apply_node_settings(shell.state, found)
        seeds = seed_addresses(found)
        if seeds != shell.link.seeds:
            shell.link.replace_seeds(seeds)
        return RELOADED_KEYS

    return SettingsWatch(path, settings, apply)


def entry_settings(settings: NodeSettings) -> EntrySettings:
    """Return the settings of the entry inside a node."""
    return EntrySettings(
        name=settings.name,
        log_level=settings.log_level,
        data_centre=settings.data_centre,
        listen_address=settings.listen_address,
        listen_port=settings.listen_port,
        admin_port=settings.admin_port,
        agent_address=settings.listen_address,
        agent_port=settings.admin_port,
        seed=settings.seed,
        trusted_sources=settings.trusted_sources,
        target_idle_ms=settings.target_idle_ms,
        max_caller_connections=settings.max_caller_connections,
        max_requests_in_turn=settings.max_requests_in_turn,
        memory_mb=settings.memory_mb,
    )


def make_keeper(settings: NodeSettings, shell: EntryShell) -> DirectorySync:
    """Build the directory of a node and the watches of the platform's store that feed it."""
    generator = seeded_generator(settings)
    address, port = split_address(settings.store)
    client = PlatformClient(
        address,
        port,
        settings.listen_address,
        settings.name,
        settings.store_timeout_ms / 1000.0,
        STORE_CALLS_PER_S,
        clock,
        generator,
        STORE_MAX_TIMEOUT_FACTOR,
        int(settings.memory_mb * BYTES_PER_MB * STORE_RESPONSE_SHARE),
    )
    translation = Translation(
        store.CONFIGURATION_KIND,
        CONFIGURATION_NAME,
        configuration_of,
        instance_of,
        version_of,
        store.EVACUATIONS_KIND,
    )
    ratio = settings.extra_send_ratio * EXTRA_SENDS_SHARE
    keeper = DirectorySync(
        shell, Directory(ratio, settings.policy), translation, settings.fleet_size
    )
    limit_s = change_limit_s(settings)
    wait_ms = round(limit_s * WATCH_WAIT_FRACTION * 1000.0)
    group_s = limit_s * BATCH_DELAY_FRACTION
    keeper.seeds = seed_addresses(settings)
    # Other nodes supply what a stale list lacks. Seeds list current state: they are asked first.
    has_others = bool(settings.exchange_ports)
    allow_stale_list = (
        settings.bootstrap and has_others and settings.listen_address not in keeper.seeds
    )
    kinds = [store.CONFIGURATION_KIND, store.INSTANCES_KIND]
    if settings.evacuate_within_s is not None:
        kinds.append(store.EVACUATIONS_KIND)
    for kind in kinds:
        # Each watch that ends without a change is a call, so rare changes are waited for longer.
        kind_wait_ms = round(wait_ms / age_factor(settings, kind))
        follower = ObjectFollower(
            client, store, kind, keeper, kind_wait_ms, generator, allow_stale_list, group_s
        )
        if kind == store.CONFIGURATION_KIND:
            follower.version_of = translation.version_of
        keeper.followers.append(follower)
    if has_others:
        keeper.make_relay = lambda: make_relay(settings, keeper, generator)
    return keeper


def change_limit_s(settings: NodeSettings) -> float:
    """Return the time within which a change of any kind has to be in force."""
    if settings.evacuate_within_s is None:
        return settings.apply_limit_s
    return min(settings.apply_limit_s, settings.evacuate_within_s)


def age_factor(settings: NodeSettings, kind: str) -> float:
    """Return how much the time without news of a kind counts, relative to the shortest limit."""
    if kind != store.EVACUATIONS_KIND or settings.evacuate_within_s is None:
        return 1.0
    return change_limit_s(settings) / settings.evacuate_within_s


def make_relay(settings: NodeSettings, keeper: DirectorySync, generator: random.Random) -> "Relay":
    """Build the relay of changes between nodes."""
    # Importing pyzmq takes 30 ms, and 100 ms on a small VM.
    from poplarlane.plumbing.relay import Relay

    local_member = Member(settings.name, settings.listen_address, settings.data_centre, 0.0)
    port = settings.exchange_ports[0] + EXCHANGE_PORT_OFFSET
    limit_s = change_limit_s(settings)
    state = RelayState(local_member, clock(), keeper.seeds, limit_s, settings.bootstrap)
    relay = Relay(
        state,
        port,
        keeper.apply_changes,
        keeper.listed,
        generator.random,
    )
    for follower in keeper.followers:
        relay.followers[follower.kind] = follower
        relay.age_factors[follower.kind] = age_factor(settings, follower.kind)
    shell = keeper.shell
    if shell.state.fleet.sections:
        relay.fleet_exchange = FleetExchange(
            relay, shell.state.fleet, shell.now, keeper.digest_received, shell.loop.call_later
        )
    return relay


def entry_pages(shell: EntryShell) -> dict:
    """Return the handlers of an entry's admin server by path."""
    state = shell.state

    def ready(_: AdminRequest) -> AdminResponse:
        if state.ready and not state.draining:
            return AdminResponse(200, b"ready\n")
        return AdminResponse(503, b"draining\n" if state.draining else b"no complete view\n")

    def status(_: AdminRequest) -> AdminResponse:
        return json_response(entry_status(shell))

    def metrics(_: AdminRequest) -> AdminResponse:
        update_gauges(shell)
        return AdminResponse(200, shell.metrics.render())

    return {"/_ready": ready, "/status": status, "/metrics": metrics}


def entry_status(shell: EntryShell) -> dict:
    """Describe the entry's state for operators."""
    state = shell.state
    return {
        "entry": state.name,
        "incarnation": state.incarnation,
        "ready": state.ready,
        "draining": state.draining,
        "applied": {name: service.revision for name, service in state.services.items()},
        "rejected": state.rejected,
        "leaving_targets": sorted(state.leaving),
        "fleet_entries": state.fleet_entries,
        "statements": target_statements(shell),
        "quarantine": quarantined_requests(shell),
        "unreadable": [
            item for found in shell.link.unreadable_objects() for item in found.document()
        ],
        "evacuated_data_centres": sorted(state.evacuated),
        "in_flight": len(state.requests),
        "callers": len(shell.callers),
        "connections": {
            f"{address}:{port}": {"open": pool.open, "idle": len(pool.idle)}
            for (address, port), pool in shell.pools.items()
        },
        "verdicts": {
            name: {target: load.verdict.value for target, load in service.loads.items()}
            for name, service in state.services.items()
        },
        "results": {str(int(code)): count for code, count in shell.results.items()},
        "start": shell.timeline.document(),
    } | quota_status(shell)


def quota_status(shell: EntryShell) -> dict:
    """Describe the customers and their quotas; empty without customers."""
    state = shell.state
    if state.quotas is None or not state.customers.by_name:
        return {}
    now = shell.now()
    found = usage_report.describe(state.quotas, now)
    found["configuration_age_s"] = (
        round(now - state.confirmed_at, 3) if state.confirmed_at > -math.inf else None
    )
    return {"quotas": found}


def target_statements(shell: EntryShell) -> dict:
    """Describe what targets have said about themselves, by service and target."""
    now = shell.now()
    found: dict[str, dict] = {}
    for name, service in shell.state.services.items():
        for target, load in service.loads.items():
            held = load.statements
            paused_s = max(0.0, held.paused_until - now)
            cold_s = max(0.0, held.cold_until - now)
            if held.rate_limit_per_s is None and not paused_s and not load.leaving and not cold_s:
                continue
            found.setdefault(name, {})[target] = {
                "leaving": load.leaving,
                "rate_limit_per_s": held.rate_limit_per_s,
                "paused_s": round(paused_s, 3),
                "cold_s": round(cold_s, 3),
            }
    return found


def quarantined_requests(shell: EntryShell) -> list[dict]:
    """Describe the requests that have crashed targets, those in quarantine first."""
    now = shell.now()
    return [
        {
            "digest": item.digest.hex(),
            "route": item.route,
            "targets": sorted(item.crashes),
            "state": item.state(now),
            "terms": item.terms,
            "ends_in_s": round(max(0.0, item.ends_at() - now), 1) if item.terms else 0.0,
        }
        for item in most_important(shell.state.quarantine.items.values())
    ]


def update_gauges(shell: EntryShell) -> None:
    """Export the entry's own counters as gauges."""
    metrics = shell.metrics
    metrics.set("requests_in_flight", {}, len(shell.state.requests))
    metrics.set("caller_connections", {}, len(shell.callers))
    for stage, found_ms in shell.timeline.stages_ms().items():
        metrics.set("start_stage_seconds", {"stage": stage}, found_ms / 1000.0)
    unreadable = Counter()
    for found in shell.link.unreadable_objects():
        unreadable[found.kind] += len(found.by_name)
    for kind, count in unreadable.items():
        metrics.set("unreadable_objects", {"kind": kind}, count)
    for code, count in shell.results.items():
        metrics.set("answers", {"code": str(int(code))}, count)
    for name, service in shell.state.services.items():
        metrics.set("applied_revision", {"service": name}, service.revision)
        metrics.set("queued_requests", {"service": name}, service.limits.queued)
        avoided = sum(load.verdict is Verdict.AVOIDED for load in service.loads.values())
        metrics.set("avoided_targets", {"service": name}, avoided)
        limited = sum(
            load.statements.rate_limit_per_s is not None for load in service.loads.values()
        )
        metrics.set("rate_limited_targets", {"service": name}, limited)
        paused = sum(load.statements.paused_until > shell.now() for load in service.loads.values())
        metrics.set("paused_targets", {"service": name}, paused)
        metrics.set("cold_targets", {"service": name}, limited_targets(service, shell.now()))
        leaving = sum(load.leaving for load in service.loads.values())
        metrics.set("leaving_targets", {"service": name}, leaving)
        metrics.set("repeat_budget", {"service": name}, service.retry_budget.tokens)
    update_exchange_gauges(shell)
    now = shell.now()
    convicted = sum(item.is_convicted(now) for item in shell.state.quarantine.items.values())
    metrics.set("quarantined", {}, convicted)
    metrics.set("evacuated_data_centres", {}, len(shell.state.evacuated))
    quotas = shell.state.quotas
    if quotas is not None and shell.state.customers.by_name:
        for (customer, outcome), count in usage_report.request_counts(quotas).items():
            metrics.set("customer_requests", {"customer": customer, "outcome": outcome}, count)
        limited = sum(usage.share < 1.0 for usage in quotas.usages.values())
        metrics.set("limited_customers", {}, limited)
    routes = shell.state.routes
    if routes is not None:
        metrics.set("configuration_version", {}, routes.version)
        metrics.set("probe_budget", {}, shell.state.probe_allowance.tokens)


def update_exchange_gauges(shell: EntryShell) -> None:
    """Export what a node exchanges with the others; an entry has no relay."""
    relay = getattr(shell.link, "relay", None)
    if relay is None:
        return
    traffic = relay.traffic
    shell.metrics.set("exchange_bytes_per_s", {"direction": "sent"}, traffic.sent_per_s)
    shell.metrics.set("exchange_bytes_per_s", {"direction": "received"}, traffic.received_per_s)
    shell.metrics.set("exchange_messages_dropped", {}, relay.sockets.counts["dropped"])
    shell.metrics.set("fleet_members", {}, len(relay.state.members) + 1)


def build_agent(settings: AgentSettings) -> "tuple[AgentShell, AdminServer]":
    # Imported here to keep them out of a node's start.
    from poplarlane.plumbing.agent_shell import AgentShell
    from poplarlane.plumbing.peer_sockets import PeerSockets
    from poplarlane.programs.agent_pages import agent_pages

    incarnation = time.time_ns() // 1_000_000
    state = agent_state(settings, incarnation)
    generator = seeded_generator(settings)
    platform = PlatformClient(
        settings.platform_address,
        settings.platform_port,
        settings.listen_address,
        settings.name,
        settings.platform_timeout_ms / 1000.0,
        settings.platform_calls_per_s,
        clock,
        generator,
    )
    metrics = Metrics()
    sockets = PeerSockets(settings.listen_address)
    shell = AgentShell(state, sockets, platform, metrics, generator, settings.listen_address)
    return shell, AdminServer(metrics, agent_pages(shell))


def agent_state(settings: AgentSettings, incarnation: int) -> "AgentState":
    """Build the initial state of an agent from its settings."""
    from poplarlane.decisions.membership.agent_state import AgentState, Peer

    state = AgentState(
        settings.name,
        incarnation,
        settings.data_centre,
        settings.listen_address,
        settings.exchange_port,
    )
    state.process = secrets.randbits(PROCESS_BITS)
    state.watchers = settings.watchers_per_data_centre
    state.exchange_interval_s = settings.exchange_interval_ms / 1000.0
    state.vm_list_interval_s = max(0.1, settings.vm_list_interval_ms / 1000.0)
    state.grant_duration_s = settings.grant_duration_ms / 1000.0
    if settings.moved_target_wait_ms is not None:
        state.moved_target_wait_s = settings.moved_target_wait_ms / 1000.0
    for seed in settings.seed_peers:
        peer = Peer(seed.name, seed.data_centre, seed.address, seed.port, clock())
        peer.seed = True
        state.peers[seed.name] = peer
    return state
