"""Content of the section `customers` in reports and digests of the fleet."""

import math

import msgspec

SHARE_SCALE = 10_000
AMOUNT_SCALE = 10
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
    """State of a customer's quota at the root; `share` below 1 limits the customer.

    A digest goes to each node four times a second, so the figures are scaled integers, which take
    a third of the bytes of floating-point numbers.
    """

    name: str
    scaled_share: int
    scaled_tokens: int
    scaled_use: int
    scaled_demand: int

    @property
    def share(self) -> float:
        """Return the share of arrivals to admit."""
        return self.scaled_share / SHARE_SCALE

    @property
    def tokens(self) -> float:
        """Return the tokens left."""
        return self.scaled_tokens / AMOUNT_SCALE

    @property
    def use_per_s(self) -> float:
        """Return the requests that run per second."""
        return self.scaled_use / AMOUNT_SCALE

    @property
    def demand_per_s(self) -> float:
        """Return the arrivals per second."""
        return self.scaled_demand / AMOUNT_SCALE


def listed_customer(
    name: str, share: float, tokens: float, use_per_s: float, demand_per_s: float
) -> ListedCustomer:
    """Describe a customer with scaled figures; a share below 1 stays below 1."""
    return ListedCustomer(
        name,
        math.floor(share * SHARE_SCALE),
        math.floor(tokens * AMOUNT_SCALE),
        math.ceil(use_per_s * AMOUNT_SCALE),
        math.ceil(demand_per_s * AMOUNT_SCALE),
    )


class QuotaDigest(msgspec.Struct, array_like=True):
    """State of all quotas in use, and the nodes whose use it contains."""

    customers: list[ListedCustomer]
    members: bytes
    lost: list[LostMembers]


REPORT_DECODER = msgspec.msgpack.Decoder(QuotaReport)
DIGEST_DECODER = msgspec.msgpack.Decoder(QuotaDigest)
ENCODER = msgspec.msgpack.Encoder()
