"""Checks invariants; a violation is counted, logged and, under test, fatal."""

import logging
import os
from collections import Counter

from jujubenotch.logs import log_event

FATAL_EXIT_CODE = 70

logger = logging.getLogger(__name__)
_violations: Counter[str] = Counter()
_settings = {"fatal": False}


class InvariantError(AssertionError):
    """An invariant does not hold."""


def make_violations_fatal(*, is_fatal: bool) -> None:
    """Set whether a violation ends the process.

    :param is_fatal: True under test; False in production, where violations are
        only counted and logged.
    """
    _settings["fatal"] = is_fatal


def assert_invariant(holds: bool, name: str, **state) -> None:
    """Record a violation if an invariant does not hold.

    A violation is counted and logged. It also ends the process if violations
    were made fatal with :func:`make_violations_fatal`.

    :param holds: Whether the invariant holds.
    :param name: The invariant's name, in lower case with hyphens.
    :param state: Fields to add to the log line of a violation.
    """
    if holds:
        return
    _violations[name] += 1
    log_event(logger, logging.CRITICAL, "invariant-violated", name=name, **state)
    if _settings["fatal"]:
        logging.shutdown()
        os._exit(FATAL_EXIT_CODE)


def read_violations() -> dict[str, int]:
    """Return the number of violations of each invariant since the start.

    :returns: Counts by the invariant's name; an invariant that was never
        violated is absent.
    """
    return dict(_violations)
