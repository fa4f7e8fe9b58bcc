"""Customers: their keys, and the quotas that all nodes enforce together."""
