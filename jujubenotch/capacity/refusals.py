"""Refusals made by slot allocation itself rather than by a pool."""

from jujubenotch.outcomes import Refusal, RefusalReason

NO_UPSTREAM_RETRY_AFTER_S = 5.0
SHUTDOWN_RETRY_AFTER_S = 1.0
DEADLINE_RETRY_AFTER_S = 1.0


def refuse_shutting_down() -> Refusal:
    """Return the refusal for requests to an instance that is shutting down."""
    return Refusal(
        reason=RefusalReason.SHUTTING_DOWN,
        retry_after_s=SHUTDOWN_RETRY_AFTER_S,
        detail="This instance is shutting down; send the request again.",
    )


def refuse_no_upstream(target: str) -> Refusal:
    """Return the refusal for a target that no upstream serves.

    :param target: The name of the model or plain service.
    """
    return Refusal(
        reason=RefusalReason.NO_UPSTREAM,
        retry_after_s=NO_UPSTREAM_RETRY_AFTER_S,
        detail=f"No upstream of this data centre serves {target!r}.",
    )


def refuse_deadline_passed() -> Refusal:
    """Return the refusal for a request whose deadline has passed."""
    return Refusal(
        reason=RefusalReason.DEADLINE_PASSED,
        retry_after_s=DEADLINE_RETRY_AFTER_S,
        detail="No slot was given before the deadline; send the request again.",
    )
