"""Bytes per second that a node exchanges with others, and when they are too many for its link."""

MEASURE_INTERVAL_S = 1.0
# A small VM has a link of 10 Mbit/s, 1,250,000 bytes a second, which requests need as well.
BUSY_BYTES_PER_S = 300_000
LOG_INTERVAL_S = 5.0


class TrafficMeter:
    """Measure from the counters of the sockets; times are in seconds of the relay's clock."""

    __slots__ = ("sent_per_s", "received_per_s", "counted", "measured_at", "log_due")

    def __init__(self, now: float) -> None:
        self.sent_per_s = 0.0
        self.received_per_s = 0.0
        # Bytes sent and received when they were last measured.
        self.counted = (0, 0)
        self.measured_at = now
        self.log_due = now

    def step(self, counts: dict[str, int], now: float) -> dict[str, float] | None:
        """Measure if it is due; return the fields of a log line if the link is busy."""
        elapsed_s = now - self.measured_at
        if elapsed_s < MEASURE_INTERVAL_S:
            return None
        sent, received = counts["sent_bytes"], counts["received_bytes"]
        self.sent_per_s = (sent - self.counted[0]) / elapsed_s
        self.received_per_s = (received - self.counted[1]) / elapsed_s
        self.counted = sent, received
        self.measured_at = now
        if max(self.sent_per_s, self.received_per_s) < BUSY_BYTES_PER_S or now < self.log_due:
            return None
        self.log_due = now + LOG_INTERVAL_S
        return {
            "sent_kb_per_s": round(self.sent_per_s / 1000.0, 1),
            "received_kb_per_s": round(self.received_per_s / 1000.0, 1),
            "dropped": counts["dropped"],
        }
