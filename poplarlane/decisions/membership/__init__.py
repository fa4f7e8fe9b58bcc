"""Membership of the fleet, and which nodes follow the store."""
