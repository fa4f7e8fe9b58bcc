"""Admission, queueing and limits of requests."""
