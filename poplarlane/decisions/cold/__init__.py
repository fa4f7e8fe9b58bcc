"""What targets bear just after their start."""
