"""At-most-once execution of requests with idempotency keys.

A claim is a row in the platform's table service; its key is made of the team,
the idempotency key and the target. Only the attempt that holds the claim sends
the request to an upstream. No other attempt takes over a claim that is held. A
claim ends when its owner records the request's outcome, or when its owner
releases it because the request was not sent and never will be. Expired claims
are deleted.

Errors: ``ClaimsError`` and its subclasses. Features: ``features/claims``.
"""

from jujubenotch.claims.calls import CallClaims
from jujubenotch.claims.claim import claim, look_up
from jujubenotch.claims.errors import ClaimsError
from jujubenotch.claims.finish import close, finish
from jujubenotch.claims.keys import digest_request, digest_row_key
from jujubenotch.claims.model import (
    Claim,
    ClaimFinished,
    ClaimHeld,
    ClaimLimits,
    ClaimRequest,
    ClaimState,
    ClaimStore,
    ClaimTaken,
    KeyReused,
    RecordedAnswer,
    make_claim_store,
)
from jujubenotch.claims.sweep import run_sweeper, sweep_hour

__all__ = [
    "CallClaims",
    "Claim",
    "ClaimFinished",
    "ClaimHeld",
    "ClaimLimits",
    "ClaimRequest",
    "ClaimState",
    "ClaimStore",
    "ClaimTaken",
    "ClaimsError",
    "KeyReused",
    "RecordedAnswer",
    "claim",
    "close",
    "digest_request",
    "digest_row_key",
    "finish",
    "look_up",
    "make_claim_store",
    "run_sweeper",
    "sweep_hour",
]
