"""Choice of a target for a request."""
