"""The entry daemon, between callers and targets."""

from poplarlane.settings import EntrySettings, settings_from_arguments


def main() -> None:
    """Run an entry."""
    settings_from_arguments(EntrySettings, "Forward callers' requests to targets.")
