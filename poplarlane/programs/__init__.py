"""Entry points of the daemons and tools."""
