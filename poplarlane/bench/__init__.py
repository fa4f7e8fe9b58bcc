"""Load generator, experiment runner and reports."""
