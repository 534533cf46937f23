"""Runs the router on the users' platform.

Usage:
  jujubenotch-platform [--settings=FILE] [--check]
  jujubenotch-platform (-h | --help)

Options:
  --settings=FILE  The platform's settings file; by default the file that the
                   environment variable JUJUBENOTCH_NODE_FILE names, or else
                   /etc/jujubenotch/settings.conf.
  --check          Check the settings and exit.
  -h --help        Show this text.

Signals:
  SIGTERM  Report not ready, finish the requests in progress, exit.
  SIGHUP   Reload the settings.

Exit codes:
  0  normal exit
  2  the settings are invalid; nothing was started
  3  an address cannot be listened on
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
    """Run the router until it is told to stop.

    :param arguments: The command line without the program's name; ``None`` uses
        that of the process.
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
    # The socket is bound before the libraries are imported, so that callers can
    # already connect. The imports take a large part of the time of a restart.
    callers_socket = bind_socket(settings.callers.host, settings.callers.port)
    callers_socket.listen(BACKLOG_CONNECTIONS)
    from jujubenotch.daemon.forwarder import run_forwarder
    from jujubenotch.platform.parts import make_platform_components

    run_forwarder(
        settings,
        lambda: load_platform_settings(path),
        make_platform_components,
        callers_socket,
    )
