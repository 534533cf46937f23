"""Keeps what each upstream has stated about itself, and logs each change."""

import logging
from dataclasses import dataclass

from jujubenotch.forwarding.limit import NamedLimit, change_limit, name_limit
from jujubenotch.forwarding.wait import NamedWait
from jujubenotch.logs import log_event
from jujubenotch.work import Unreadable, UpstreamNotice

logger = logging.getLogger(__name__)


@dataclass(kw_only=True, slots=True)
class Statements:
    """The last statements of one upstream.

    :param limit: Its limit; ``None`` while it names none.
    :param left_s: When this instance first read that it is leaving, in seconds;
        ``None`` before. A process that is leaving doesn't come back.
    :param wait: The time for which it wants no requests; ``None`` when it named none.
    :param unreadable: What could not be interpreted in its last response.

    >>> Statements().limit
    """

    limit: NamedLimit | None = None
    left_s: float | None = None
    wait: NamedWait | None = None
    unreadable: str = ""


def has_stated(statements: Statements) -> bool:
    """Return whether an upstream has stated anything that may still hold.

    :param statements: What it has stated.
    """
    stated = (statements.left_s, statements.limit, statements.wait)
    return any(each is not None for each in stated)


def record_notice(
    statements: Statements,
    upstream: str,
    notice: UpstreamNotice,
    *,
    instances: int,
    draw: float,
    now_s: float,
) -> None:
    """Record the statements in a response of an upstream.

    A value that can't be interpreted changes nothing.

    :param statements: The upstream's earlier statements; changed in place.
    :param upstream: The upstream's name.
    :param notice: The new statements.
    :param instances: The number of instances that share the upstream.
    :param draw: A random number in [0, 1).
    :param now_s: The present time on a clock that includes suspended time, in seconds.
    """
    _log_unreadable(statements, upstream, notice.unreadable)
    if notice.is_leaving is True and statements.left_s is None:
        statements.left_s = now_s
        log_event(logger, logging.INFO, "upstream-leaving", upstream=upstream)
    if isinstance(notice.wait_s, float):
        _record_wait(statements, upstream, notice.wait_s, now_s)
    per_s = notice.limit_per_s
    if isinstance(per_s, Unreadable):
        return
    if per_s is None:
        _withdraw_limit(statements, upstream, now_s)
    elif statements.limit is None:
        statements.limit = name_limit(
            per_s, instances=instances, draw=draw, now_s=now_s
        )
        _log_named(upstream, statements.limit, before_per_s=None)
    else:
        _update_limit(statements.limit, upstream, per_s, instances, now_s)


def _log_unreadable(statements, upstream, unreadable):
    if unreadable and unreadable != statements.unreadable:
        log_event(
            logger,
            logging.WARNING,
            "upstream-notice-rejected",
            upstream=upstream,
            value=unreadable,
        )
    statements.unreadable = unreadable


def _record_wait(statements, upstream, wait_s, now_s):
    until_s = now_s + wait_s
    if statements.wait is not None and until_s <= statements.wait.until_s:
        return
    statements.wait = NamedWait(named_s=now_s, until_s=until_s)
    log_event(
        logger,
        logging.INFO,
        "upstream-wait-named",
        upstream=upstream,
        wait_s=round(wait_s, 3),
    )


def _update_limit(limit, upstream, per_s, instances, now_s):
    before_per_s = limit.per_s
    change_limit(limit, per_s, instances=instances, now_s=now_s)
    limit.read_s = now_s
    if per_s != before_per_s:
        _log_named(upstream, limit, before_per_s=before_per_s)


def _withdraw_limit(statements, upstream, now_s):
    if statements.limit is not None:
        _log_withdrawn(upstream, statements.limit, now_s)
        statements.limit = None


def _log_named(upstream, limit, *, before_per_s):
    log_event(
        logger,
        logging.INFO,
        "upstream-limit-named",
        upstream=upstream,
        limit_per_s=limit.per_s,
        before_per_s=before_per_s,
        interval_s=round(limit.interval_s, 3),
    )


def _log_withdrawn(upstream, limit, now_s):
    log_event(
        logger,
        logging.INFO,
        "upstream-limit-withdrawn",
        upstream=upstream,
        limit_per_s=limit.per_s,
        in_force_s=round(now_s - limit.named_s, 3),
    )
