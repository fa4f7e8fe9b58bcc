"""JSON schema of the configuration objects stored on the platform."""

import msgspec

from poplarlane.types import Priority

SERVICES_KIND = "services"
SERVICE_COPIES_KIND = "service-copies"
PROBE_GRANTS_KIND = "probe-grants"
MAX_VALUE_BYTES = 1_000_000
MAX_RECORDED_CHANGES = 50


class RequestKindObject(msgspec.Struct, forbid_unknown_fields=True, kw_only=True):
    """Treatment of one kind of request; the first kind with matching method and prefix applies."""

    name: str
    methods: list[str]
    path_prefix: str = "/"
    idempotent: bool = False
    priority: Priority = Priority.NORMAL
    deadline_ms: int = 2_000
    hedge: bool = False


class LimitsObject(msgspec.Struct, forbid_unknown_fields=True, kw_only=True):
    """Limits on the load that all entries together put on one target, and on an entry's queue."""

    slots_per_target: int = 6
    connections_per_target: int = 330
    queue_length: int = 256
    retry_ratio: float = 0.1
    hedge_ratio: float = 0.05
    subset_size: int = 0


class ProbeBudgetObject(msgspec.Struct, forbid_unknown_fields=True, kw_only=True):
    """Limits on the probes that all VMs together send to one target."""

    per_target_per_s: float = 0.0
    target_time_share: float = 0.0
    probe_cost_ms: float = 0.0


class TargetObject(msgspec.Struct, forbid_unknown_fields=True, kw_only=True):
    """Address, data centre and labels of one target."""

    address: str
    port: int
    data_centre: str
    labels: dict[str, str] = {}
    instance: str = ""
    probe_path: str = ""


class SelectorObject(msgspec.Struct, forbid_unknown_fields=True, kw_only=True):
    """Access rule: the selected callers may reach the selected targets."""

    callers: str
    targets: str


class ChangeObject(msgspec.Struct, forbid_unknown_fields=True, kw_only=True):
    """History record of one accepted change."""

    revision: int
    change_id: str
    operator: str
    at: str
    summary: str


class ServiceObject(msgspec.Struct, forbid_unknown_fields=True, kw_only=True):
    """The whole configuration of one service, with targets and selectors by name."""

    service: str
    revision: int
    change_id: str
    hosts: list[str]
    requests: list[RequestKindObject] = []
    policy: str = "adaptive"
    limits: LimitsObject = msgspec.field(default_factory=LimitsObject)
    probe_budget: ProbeBudgetObject = msgspec.field(default_factory=ProbeBudgetObject)
    targets: dict[str, TargetObject] = {}
    selectors: dict[str, SelectorObject] = {}
    changes: list[ChangeObject] = []
    deleted: bool = False


SERVICE_DECODER = msgspec.json.Decoder(ServiceObject)
JSON_ENCODER = msgspec.json.Encoder()


def encode_service(service: ServiceObject) -> bytes:
    """Encode a service object as the platform stores it."""
    return JSON_ENCODER.encode(service)


class ProbeGrantObject(msgspec.Struct, forbid_unknown_fields=True, kw_only=True):
    """Lease to probe the targets of all services of one shard, held by one process.

    The lease expires `duration_ms` after an instant before its write was sent. `process`
    distinguishes processes of the same name. A released grant has already expired.
    """

    shard: int
    holder: str
    process: int
    term: int
    duration_ms: int
    released: bool = False


PROBE_GRANT_DECODER = msgspec.json.Decoder(ProbeGrantObject)
