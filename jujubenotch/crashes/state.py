"""The state of the evidence of an instance, and what it contributes to that of all."""

from dataclasses import dataclass, field

from jujubenotch.crashes.model import (
    Acquittal,
    Block,
    CrashReport,
    InstanceReports,
)

LIFETIME_S = 600.0
MAX_CRASHES = 10
MAX_SUSPECTS_PER_CRASH = 72
MAX_ACQUITTALS = 256


@dataclass(kw_only=True)
class OwnCrash:
    """A break that this instance saw at one process.

    :param reported_unix_s: The time of the first break as Unix time, in seconds.
    :param suspects: The suspects, in the order in which they were seen, each with
        whether it was trusted.
    """

    reported_unix_s: float
    suspects: dict[str, bool] = field(default_factory=dict)


@dataclass(kw_only=True)
class Evidence:
    """The evidence known to an instance.

    :param own_crashes: What this instance saw, by process.
    :param own_acquittals: The pairs of process and suspect that it acquitted.
    :param others: The reports of the other instances, by name.
    :param accusers: For each suspect the processes that crashed on it, without those
        from which it was acquitted, with the Unix time of each crash in seconds.
    :param learned_s: When this instance learned of each pair of process and suspect,
        monotonic, in seconds.
    :param sound_s: When this instance last saw a good response with each prompt part,
        monotonic, in seconds; the latest last.
    :param sound_requests_s: The same for whole requests.
    :param blocks: The blocks in force.
    :param published: The own acquittals that the other instances know.
    :param probed_s: When this instance last sent a request with each blocked suspect to
        learn whether it is sound, monotonic, in seconds.
    :param is_unpublished: Whether the other instances don't know all own reports.
    :param is_stale: Whether reports have changed since ``blocks`` was decided.

    >>> Evidence().blocks
    []
    """

    own_crashes: dict[str, OwnCrash] = field(default_factory=dict)
    own_acquittals: dict[tuple[str, str], None] = field(default_factory=dict)
    others: dict[str, InstanceReports] = field(default_factory=dict)
    accusers: dict[str, dict[str, float]] = field(default_factory=dict)
    learned_s: dict[tuple[str, str], float] = field(default_factory=dict)
    sound_s: dict[str, float] = field(default_factory=dict)
    sound_requests_s: dict[str, float] = field(default_factory=dict)
    blocks: list[Block] = field(default_factory=list)
    published: frozenset[tuple[str, str]] = frozenset()
    probed_s: dict[str, float] = field(default_factory=dict)
    is_unpublished: bool = False
    is_stale: bool = False


def make_own_reports(evidence: Evidence) -> InstanceReports:
    """Return what this instance contributes to the evidence.

    :param evidence: The evidence.
    """
    crashes = tuple(
        CrashReport(
            process=process,
            reported_unix_s=crash.reported_unix_s,
            suspects=_select(crash.suspects, is_trusted=False),
            trusted=_select(crash.suspects, is_trusted=True),
        )
        for process, crash in evidence.own_crashes.items()
    )
    acquittals = tuple(
        Acquittal(process=process, suspect=suspect)
        for process, suspect in evidence.own_acquittals
    )
    return InstanceReports(crashes=crashes, acquittals=acquittals)


def _select(suspects, *, is_trusted):
    return tuple(name for name, trusted in suspects.items() if trusted is is_trusted)


def drop_oldest(entries: dict, most: int) -> None:
    """Drop the first entries of a mapping until it has a given size.

    :param entries: The entries; changed in place.
    :param most: The largest size.
    """
    while len(entries) > most:
        del entries[next(iter(entries))]
