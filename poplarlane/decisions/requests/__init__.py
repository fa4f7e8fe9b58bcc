"""The way of a request: arrival, attempts, responses and timers, and the state of an entry."""
