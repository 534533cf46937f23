"""Checks an invariant: a violation is counted, logged and, under test, fatal."""

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
    """Choose whether a violation ends the process.

    :param is_fatal: True under test; False in production, where a violation
        is counted and logged only.
    """
    _settings["fatal"] = is_fatal


def assert_invariant(holds: bool, name: str, **state) -> None:
    """Check that an invariant holds.

    :param holds: Whether it does.
    :param name: Its name, in lower case with hyphens.
    :param state: What to log with a violation.
    """
    if holds:
        return
    _violations[name] += 1
    log_event(logger, logging.CRITICAL, "invariant-violated", name=name, **state)
    if _settings["fatal"]:
        logging.shutdown()
        os._exit(FATAL_EXIT_CODE)


def read_violations() -> dict[str, int]:
    """Return the violations counted so far, by the invariant's name.

    :returns: Counts; an invariant never violated is absent.
    """
    return dict(_violations)
