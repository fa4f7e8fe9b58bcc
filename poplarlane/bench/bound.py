"""Lower bound: one central queue in front of all slots of a service."""

import heapq


def central_queue_latencies(
    arrivals: list[float], service_times: list[float], slots: int
) -> list[float]:
    """Serve the arrivals first come first served on `slots` equal slots; all in seconds.

    Arrivals must be in order. No network, no connection and no decision costs anything here.
    """
    free_at = [0.0] * slots
    latencies = []
    for at, service_s in zip(arrivals, service_times, strict=True):
        start = max(at, heapq.heappop(free_at))
        heapq.heappush(free_at, start + service_s)
        latencies.append(start + service_s - at)
    return latencies
