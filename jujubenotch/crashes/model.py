"""Data model of the evidence about requests that crash upstreams."""

from dataclasses import dataclass


@dataclass(frozen=True, kw_only=True, slots=True)
class CrashReport:
    """What one instance saw of the end of one upstream process.

    :param process: The process; a restarted upstream is another one.
    :param reported_unix_s: When the instance saw it, as Unix time in seconds.
    :param suspects: The digests of the requests that the process was running, and of
        the prompt parts of those whose responses it had just begun.
    :param trusted: Further such digests of parts, of which the instance had seen good
        responses shortly before.
    """

    process: str
    reported_unix_s: float
    suspects: tuple[str, ...]
    trusted: tuple[str, ...] = ()


@dataclass(frozen=True, kw_only=True, slots=True)
class Acquittal:
    """A request with the suspect ended well after the crash was known.

    :param process: The process that crashed.
    :param suspect: The digest that the crash's reports contain.
    """

    process: str
    suspect: str


@dataclass(frozen=True, kw_only=True, slots=True)
class InstanceReports:
    """All that one instance contributes to the evidence."""

    crashes: tuple[CrashReport, ...] = ()
    acquittals: tuple[Acquittal, ...] = ()


@dataclass(frozen=True, kw_only=True, slots=True)
class Block:
    """Requests that contain all of the suspects are not sent.

    :param suspects: The digests.
    :param processes: The processes that crashed on them.
    :param newest_unix_s: When the last of these crashes was reported, in seconds.
    :param rivals: The suspects that would explain the same crashes. At least one of
        them all is at fault, and the others may be sound.
    """

    suspects: frozenset[str]
    processes: frozenset[str]
    newest_unix_s: float
    rivals: frozenset[str] = frozenset()
