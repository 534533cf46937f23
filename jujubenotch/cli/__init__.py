"""The operators' command-line tool, ``jujubenotch``.

Errors: ``CliError`` and its kinds, each with its exit code.
Features: ``features/cli``.
"""

from jujubenotch.cli.errors import CliError

__all__ = ["CliError"]
