"""Starts the router on the users' platform; see ``command`` for its options."""

import signal
import sys


def main(arguments: list[str] | None = None) -> int:
    """Run the router until it is told to stop.

    :param arguments: The command line without the program's name.
    :returns: The exit code.
    """
    # Without a handler a hang-up would end the process, also while its
    # libraries load, so nothing is imported before.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    from jujubenotch.platform.command import run_command

    return run_command(arguments)


if __name__ == "__main__":
    sys.exit(main())
