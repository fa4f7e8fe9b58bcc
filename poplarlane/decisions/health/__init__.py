"""Passive health checking of targets and their trials."""
