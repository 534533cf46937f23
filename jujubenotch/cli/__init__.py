"""The operators' command-line tool, ``jujubenotch``.

All errors derive from ``CliError``; each class has its exit code. The tests are in
``features/cli``.
"""

from jujubenotch.cli.errors import CliError

__all__ = ["CliError"]
