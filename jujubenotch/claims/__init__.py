"""At-most-once claims on the platform's table service.

A keyed request is sent only by the attempt that holds its key's claim. A claim
is never taken over: it ends as a recorded outcome, or its owner releases it
after proving that nothing was sent and nothing will be.

Errors: ``ClaimsError``. Features: ``features/claims``.
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
    Claims,
    ClaimState,
    ClaimTaken,
    KeyReused,
    RecordedAnswer,
    make_claims,
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
    "ClaimTaken",
    "Claims",
    "ClaimsError",
    "KeyReused",
    "RecordedAnswer",
    "claim",
    "close",
    "digest_request",
    "digest_row_key",
    "finish",
    "look_up",
    "make_claims",
    "run_sweeper",
    "sweep_hour",
]
