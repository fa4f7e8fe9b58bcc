"""Adapter for the users' platform: translates names and formats and makes no decisions."""
