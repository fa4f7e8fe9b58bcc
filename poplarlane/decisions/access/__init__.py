"""Which targets a caller may reach, by labels and selectors."""
