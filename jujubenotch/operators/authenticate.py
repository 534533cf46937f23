"""Authenticates operators by their keys."""

import hashlib
import hmac
from collections.abc import Iterable

from sanic import Request

from jujubenotch.operators.errors import WrongKeyError

AUTHORIZATION_SCHEME = "bearer "


def check_key(request: Request, key_digests: Iterable[str]) -> None:
    """Check that a request carries an operator's key.

    The digest of the given key is compared with every accepted digest in constant
    time, so that the response time does not reveal how similar they are.

    :param request: The operator's request.
    :param key_digests: The lower-case hexadecimal SHA-256 digests of the accepted
        keys.
    :raises WrongKeyError: The key is missing, given more than once, or not
        accepted.
    """
    values = request.headers.getall("authorization", [])
    if len(values) != 1 or not values[0].lower().startswith(AUTHORIZATION_SCHEME):
        raise WrongKeyError
    key = values[0][len(AUTHORIZATION_SCHEME) :].strip()
    digest = hashlib.sha256(key.encode(errors="replace")).hexdigest()
    matches = [hmac.compare_digest(digest, known) for known in key_digests]
    if not any(matches):
        raise WrongKeyError
