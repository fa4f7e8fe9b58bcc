"""Behave features and their runner."""
