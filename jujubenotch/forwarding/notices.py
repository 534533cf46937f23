"""Keeps what each upstream has stated about itself, and logs each change."""

import logging
from dataclasses import dataclass

from jujubenotch.logs import log_event
from jujubenotch.work import UpstreamNotice

logger = logging.getLogger(__name__)


@dataclass(kw_only=True, slots=True)
class NamedLimit:
    """The request rate that an upstream accepts from all instances together.

    :param per_s: The limit in requests per second.
    :param named_s: When this instance first read of a limit, in seconds.
    :param read_s: When this instance last read the limit, in seconds.
    """

    per_s: float
    named_s: float
    read_s: float


@dataclass(kw_only=True, slots=True)
class Statements:
    """The last statements of one upstream.

    :param limit: Its limit; ``None`` while it names none.
    :param rejected: The part of its last response that could not be interpreted.

    >>> Statements().limit
    """

    limit: NamedLimit | None = None
    rejected: str = ""


def record_notice(
    statements: Statements, upstream: str, notice: UpstreamNotice, now_s: float
) -> None:
    """Record the statements in a response of an upstream.

    A value that can't be interpreted changes nothing.

    :param statements: The upstream's earlier statements; changed in place.
    :param upstream: The upstream's name.
    :param notice: The new statements.
    :param now_s: The present time on a clock that includes suspended time, in seconds.
    """
    _log_rejected(statements, upstream, notice)
    if notice.rejected:
        return
    _record_limit(statements, upstream, notice.limit_per_s, now_s)


def _log_rejected(statements, upstream, notice):
    if notice.rejected and notice.rejected != statements.rejected:
        log_event(
            logger,
            logging.WARNING,
            "upstream-notice-rejected",
            upstream=upstream,
            value=notice.rejected,
        )
    statements.rejected = notice.rejected


def _record_limit(statements, upstream, per_s, now_s):
    limit = statements.limit
    if per_s is None:
        if limit is not None:
            _log_withdrawn(upstream, limit, now_s)
        statements.limit = None
        return
    if limit is None:
        limit = NamedLimit(per_s=per_s, named_s=now_s, read_s=now_s)
        statements.limit = limit
        _log_named(upstream, limit, before=None)
    elif limit.per_s != per_s:
        before, limit.per_s = limit.per_s, per_s
        _log_named(upstream, limit, before=before)
    limit.read_s = now_s


def _log_named(upstream, limit, *, before):
    log_event(
        logger,
        logging.INFO,
        "upstream-limit-named",
        upstream=upstream,
        limit_per_s=limit.per_s,
        before_per_s=before,
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
