"""Data centres whose targets get no new requests because an operator asked for it."""
