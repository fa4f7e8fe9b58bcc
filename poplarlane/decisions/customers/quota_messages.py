"""Content of the section `customers` in reports and digests of the fleet."""

import msgspec

# Limits that keep a report and a digest within 16 KiB with names of 30 bytes; a customer beyond
# them waits for the next message.
MAX_REPORTED_CUSTOMERS = 150
MAX_LISTED_CUSTOMERS = 250
# Reports repeat the differences of the previous ones, so that up to two lost reports in a row leave
# no gap in the counts.
REPEATED_REPORTS = 3
MAX_REPEATED_CUSTOMERS = 100


class Counted(msgspec.Struct, array_like=True):
    """Requests of a customer since the last report: admitted ones that ran, and arrivals."""

    name: str
    used: int
    asked: int


class LostMembers(msgspec.Struct, array_like=True):
    """Nodes that fell silent, with their use per second by customer, charged for `left_s` more.

    `members` holds the ids of the nodes, 4 bytes each.
    """

    members: bytes
    use_per_s: dict[str, float]
    left_s: float


class QuotaReport(msgspec.Struct, array_like=True):
    """Report of a node and those below it; `counts` has the newest differences first."""

    epoch: int
    sequence: int
    counts: list[list[Counted]]
    members: bytes
    lost: list[LostMembers]


class ListedCustomer(msgspec.Struct, array_like=True):
    """State of a customer's quota at the root; `share` below 1 limits the customer."""

    name: str
    share: float
    tokens: float
    use_per_s: float
    demand_per_s: float


class QuotaDigest(msgspec.Struct, array_like=True):
    """State of all quotas in use, and the nodes whose use it contains."""

    customers: list[ListedCustomer]
    members: bytes
    lost: list[LostMembers]


REPORT_DECODER = msgspec.msgpack.Decoder(QuotaReport)
DIGEST_DECODER = msgspec.msgpack.Decoder(QuotaDigest)
ENCODER = msgspec.msgpack.Encoder()
