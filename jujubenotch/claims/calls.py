"""Translates between the dispatcher's calls and claims."""

from dataclasses import dataclass, field

from jujubenotch.claims.claim import claim, look_up
from jujubenotch.claims.finish import close, finish
from jujubenotch.claims.keys import digest_request
from jujubenotch.claims.model import (
    Claim,
    ClaimFinished,
    ClaimHeld,
    ClaimRequest,
    ClaimStore,
    ClaimTaken,
    RecordedAnswer,
)
from jujubenotch.dispatch import Answer, Call
from jujubenotch.outcomes import FailureReason, Outcome, Refusal, RefusalReason

CONFLICT = 409
UNPROCESSABLE = 422
SERVICE_UNAVAILABLE = 503
RECORDED_HEADERS = frozenset(
    {
        "content-encoding",
        "content-language",
        "content-type",
        "etag",
        "last-modified",
        "location",
    }
)


@dataclass(kw_only=True)
class CallClaims:
    """Takes and finishes claims for the calls of one instance.

    :param claim_store: The instance's access to the claims' rows.
    :param held: The claims that calls hold at present, by request id.

    >>> CallClaims(claim_store=None).held
    {}
    """

    claim_store: ClaimStore
    held: dict[str, Claim] = field(default_factory=dict)

    async def look_up(self, call: Call) -> Answer | None:
        """Return the answer for a call whose key has been used before.

        While an earlier request with the key is in progress, this waits for its
        outcome, at most until the call's deadline.

        :param call: A call with an idempotency key.
        :returns: The answer; ``None`` if the key can be claimed for this call.
        """
        result = await look_up(self.claim_store, _make_claim_request(call))
        if isinstance(result, Refusal):
            return _make_unknown_answer(result)
        return _make_answer(result)

    async def claim(self, call: Call) -> Answer | None:
        """Claim a call's key.

        :param call: A call with an idempotency key.
        :returns: ``None`` if the call holds the claim and may be sent; otherwise
            the answer for its caller.
        """
        result = await claim(self.claim_store, _make_claim_request(call))
        if isinstance(result, ClaimTaken):
            self.held[call.request_id] = result.claim
            return None
        return _make_answer(result)

    def finish(self, call: Call, answer: Answer) -> None:
        """Record the outcome of a claimed call in the background.

        :param call: The call.
        :param answer: The answer that its caller gets.
        """
        held = self.held.pop(call.request_id, None)
        if held is not None:
            finish(self.claim_store, held, _make_recorded_answer(answer))

    async def close(self) -> None:
        """Wait until each outcome has been recorded or recording was given up."""
        await close(self.claim_store)


def _make_claim_request(call):
    return ClaimRequest(
        team=call.team.name,
        idempotency_key=call.idempotency_key,
        target=call.target,
        fingerprint=digest_request(call.method, call.path, call.body),
        deadline_s=call.deadline_s,
    )


def _make_recorded_answer(answer):
    return RecordedAnswer(
        outcome=answer.outcome,
        status=answer.status,
        reason=answer.reason,
        headers=tuple(
            (name, value)
            for name, value in answer.headers
            if name.lower() in RECORDED_HEADERS
        ),
        body=answer.body,
        is_streamed=answer.is_streamed,
    )


def _make_answer(result):
    if result is None:
        return None
    if isinstance(result, ClaimFinished):
        return _make_answer_from_record(result.answer)
    if isinstance(result, Refusal):
        return Answer(
            outcome=Outcome.NOT_RUN,
            status=SERVICE_UNAVAILABLE,
            reason=result.reason,
            detail=result.detail,
            retry_after_s=result.retry_after_s,
        )
    if isinstance(result, ClaimHeld):
        return Answer(
            outcome=Outcome.UNKNOWN,
            status=CONFLICT,
            reason=FailureReason.CLAIM_HELD,
            detail="an earlier request with this key may have run, and its outcome "
            "isn't recorded; repeat it with the same key",
            retry_after_s=result.retry_after_s,
        )
    return Answer(
        outcome=Outcome.NOT_RUN,
        status=UNPROCESSABLE,
        reason=RefusalReason.KEY_REUSED,
        detail="the key belongs to another request of this team; take a new key",
    )


def _make_unknown_answer(refusal):
    # The outcome of an earlier request with this key can't be read at present,
    # and that request may have run, so the answer must not say "not run".
    return Answer(
        outcome=Outcome.UNKNOWN,
        status=SERVICE_UNAVAILABLE,
        reason=FailureReason.PLATFORM_UNAVAILABLE,
        detail="nothing was sent now, but an earlier request with this key may have "
        "run; repeat it with the same key",
        retry_after_s=refusal.retry_after_s,
    )


def _make_answer_from_record(answer):
    return Answer(
        outcome=answer.outcome,
        status=answer.status,
        reason=answer.reason,
        headers=answer.headers,
        body=answer.body,
        is_streamed=answer.is_streamed,
    )
