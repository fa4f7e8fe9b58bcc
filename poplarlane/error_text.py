"""Formatting of errors that are logged or reported instead of raised again."""


def error_text(error: Exception) -> str:
    """Return the type name and the message of an error."""
    return f"{type(error).__name__}: {error}"
