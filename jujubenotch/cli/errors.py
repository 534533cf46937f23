"""The errors and the exit codes of the command-line tool."""

from enum import IntEnum


class ExitCode(IntEnum):
    """The exit codes of the commands."""

    DONE = 0
    DIFFERENT = 1
    USAGE = 2
    INVALID = 3
    CONFLICT = 4
    REFUSED = 5
    UNSETTLED = 6
    WRONG_KEY = 7
    UNREACHABLE = 8
    NOT_KNOWN = 9
    NOT_LASTING = 10


class CliError(Exception):
    """A command failed; the message is printed for the operator."""

    exit_code = ExitCode.REFUSED


class UsageError(CliError):
    """The command line is invalid, or a file can't be read."""

    exit_code = ExitCode.USAGE


class UnsettledError(CliError):
    """The result of a change is unknown: it may have been made."""

    exit_code = ExitCode.UNSETTLED


class WrongKeyError(CliError):
    """The operator's key is missing or wrong."""

    exit_code = ExitCode.WRONG_KEY


class UnreachableError(CliError):
    """The instance can't be reached; nothing was sent to it."""

    exit_code = ExitCode.UNREACHABLE


class NoResponseError(CliError):
    """A request was sent, but the instance failed or did not respond."""

    exit_code = ExitCode.UNREACHABLE


class NotKnownError(CliError):
    """The requested record, request or upstream is not known."""

    exit_code = ExitCode.NOT_KNOWN
