"""The router on the users' platform.

Usage:
  jujubenotch-platform [--settings=FILE] [--check]
  jujubenotch-platform (-h | --help)

Options:
  --settings=FILE  The platform's settings file; by default the one that it
                   names in the environment.
  --check          Check the settings and end.
  -h --help        Show this text.

Signals:
  SIGTERM  Report not ready, finish what is in progress, end.
  SIGHUP   Read the settings again.

Exit codes:
  0  ended as planned
  2  the settings are wrong; nothing was started
  3  an address can't be listened on
"""

import sys

from docopt import docopt

from jujubenotch.platform.errors import PlatformSettingsError
from jujubenotch.platform.settings import find_settings_file, load_platform_settings
from jujubenotch.sockets import ListenerError, bind_socket

BACKLOG_CONNECTIONS = 1024
EXIT_OK = 0
EXIT_WRONG_SETTINGS = 2
EXIT_CANNOT_START = 3


def run_command(arguments: list[str] | None = None) -> int:
    """Run the command of the router, until it is told to stop.

    :param arguments: The command line without the program's name.
    :returns: The exit code.
    """
    options = docopt(__doc__, argv=arguments)
    path = options["--settings"] or find_settings_file()
    try:
        settings = load_platform_settings(path)
        if options["--check"]:
            print("the settings are valid")
            return EXIT_OK
        _serve(settings, path)
    except PlatformSettingsError as error:
        print(error, file=sys.stderr)
        return EXIT_WRONG_SETTINGS
    except ListenerError as error:
        print(error, file=sys.stderr)
        return EXIT_CANNOT_START
    return EXIT_OK


def _serve(settings, path):
    # Callers can connect while the libraries load, which takes a good part of
    # the time that a restart takes.
    bound = bind_socket(settings.callers.host, settings.callers.port)
    bound.listen(BACKLOG_CONNECTIONS)
    from jujubenotch.daemon.forwarder import run_forwarder
    from jujubenotch.platform.parts import make_parts

    run_forwarder(settings, lambda: load_platform_settings(path), make_parts, bound)
