"""Starts the router on the users' platform; ``command`` documents the options."""

import signal
import sys


def main(arguments: list[str] | None = None) -> int:
    """Run the router until it is told to stop.

    :param arguments: The command line without the program's name; ``None`` uses
        that of the process.
    :returns: The exit code.
    """
    # Without a handler, SIGHUP would end the process even while its libraries
    # are being imported, so it is ignored before anything else is imported.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    from jujubenotch.platform.command import run_command

    return run_command(arguments)


if __name__ == "__main__":
    sys.exit(main())
