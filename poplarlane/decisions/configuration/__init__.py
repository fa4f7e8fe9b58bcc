"""Configuration and targets: validation, distribution and application."""
