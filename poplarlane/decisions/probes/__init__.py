"""Probes of targets, and their schedule and budget."""
