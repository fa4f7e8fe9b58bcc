"""Entry point of the node daemon; installs a signal handler before the slow imports."""

import signal


def main() -> None:
    """Run a node; a request to reload the settings that arrives during the start is kept."""
    early_reloads: list[int] = []
    signal.signal(signal.SIGHUP, lambda number, _frame: early_reloads.append(number))
    from poplarlane.programs.node_daemon import start

    start(early_reloads)


if __name__ == "__main__":
    main()
