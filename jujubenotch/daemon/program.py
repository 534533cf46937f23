"""The router daemon of one instance.

Usage:
  jujubenotchd --settings=FILE [--check]
  jujubenotchd (-h | --help)
  jujubenotchd --version

Options:
  --settings=FILE  Settings in TOML.
  --check          Check the settings, print each error and end.
  -h --help        Show this text.
  --version        Show the version.

Signals:
  SIGTERM, SIGINT  Take nothing new, end when the last request has ended.
  SIGHUP           Read the log level, operators' keys and, with the embedded
                   platform, the records again.

Exit codes:
  0   ended as planned
  2   the settings or the records are wrong; nothing was started
  3   an address can't be listened on, or the platform can't be reached at start
  70  an invariant does not hold (with invariants.fatal)
"""

import asyncio
import os
import sys
from importlib import metadata

import uvloop
from docopt import docopt

from jujubenotch.daemon.errors import DaemonError
from jujubenotch.daemon.instance import run_instance
from jujubenotch.listeners import ListenerError
from jujubenotch.settings import SettingsError, load_settings

EXIT_OK = 0
EXIT_WRONG_SETTINGS = 2
EXIT_CANNOT_START = 3


def main(arguments: list[str] | None = None) -> int:
    """Run the daemon until a signal stops it.

    :param arguments: The command line without the program's name; ``None`` reads
        ``sys.argv``.
    :returns: The exit code.
    """
    version = metadata.version("jujubenotch")
    options = docopt(__doc__, argv=arguments, version=version)
    # Later releases of uvloop create an io_uring unless this variable is 0.
    os.environ["UV_USE_IO_URING"] = "0"
    try:
        settings = load_settings(options["--settings"])
        if options["--check"]:
            print("the settings are valid")
            return EXIT_OK
        return _run(settings, options["--settings"])
    except (SettingsError, DaemonError) as error:
        print(error, file=sys.stderr)
        return EXIT_WRONG_SETTINGS
    except ListenerError as error:
        print(error, file=sys.stderr)
        return EXIT_CANNOT_START


def _run(settings, path):
    uvloop.install()
    with asyncio.Runner() as runner:
        runner.run(run_instance(settings, path))
    return EXIT_OK


if __name__ == "__main__":
    sys.exit(main())
