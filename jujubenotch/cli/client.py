"""Speaks to the operators' interface of one instance."""

import ssl
from dataclasses import dataclass
from typing import TypeVar

import aiohttp
from pydantic import BaseModel, ValidationError

from jujubenotch.cli.errors import (
    CliError,
    LostAnswerError,
    NotKnownError,
    UnreachableError,
    UsageError,
    WrongKeyError,
)
from jujubenotch.operators import ErrorDocument

CONNECT_TIMEOUT_S = 5.0
APPLY_STATUSES = frozenset({200, 409, 422, 503})
_ERROR_BY_STATUS = {
    400: UsageError,
    401: WrongKeyError,
    404: NotKnownError,
    413: UsageError,
}

Document = TypeVar("Document", bound=BaseModel)


@dataclass(frozen=True, kw_only=True)
class OperatorClient:
    """Where an instance is and how it is spoken to.

    :param address: Base address, ``http://host:port`` or ``https://host:port``.
    :param key: The operator's key.
    :param timeout_s: For each request, in seconds.
    :param tls: The TLS context of an ``https`` address.

    >>> OperatorClient(address="http://127.0.0.1:8081", key="", timeout_s=30.0).tls
    """

    address: str
    key: str
    timeout_s: float
    tls: ssl.SSLContext | None = None


async def ask(
    client: OperatorClient,
    method: str,
    path: str,
    model: type[Document],
    *,
    body: BaseModel | None = None,
    parameters: dict[str, str] | None = None,
    statuses: frozenset[int] = frozenset({200}),
) -> Document:
    """Send one request and read its answer.

    :param client: The instance to ask.
    :param method: The HTTP method.
    :param path: The path.
    :param model: What the answer must be.
    :param body: The document to send.
    :param parameters: Parameters of the query.
    :param statuses: The statuses that carry the answer.
    :returns: The answer.
    :raises UnreachableError: No connection could be opened.
    :raises LostAnswerError: No answer came.
    :raises CliError: The instance refused the request.
    """
    status, content = await _exchange(client, method, path, body, parameters)
    try:
        if status in statuses:
            return model.model_validate_json(content)
        refusal = ErrorDocument.model_validate_json(content)
    except ValidationError as error:
        raise CliError(
            f"{client.address} gave an answer of status {status} that is not an "
            "instance's; check the address"
        ) from error
    if status >= 500:
        raise LostAnswerError(refusal.detail)
    raise _ERROR_BY_STATUS.get(status, CliError)(refusal.detail)


async def _exchange(client, method, path, body, parameters):
    headers = {"Content-Type": "application/json"}
    if client.key:
        headers["Authorization"] = f"Bearer {client.key}"
    timeout = aiohttp.ClientTimeout(
        total=client.timeout_s, sock_connect=CONNECT_TIMEOUT_S
    )
    connector = aiohttp.TCPConnector(ssl=client.tls or True)
    try:
        async with (
            aiohttp.ClientSession(timeout=timeout, connector=connector) as session,
            session.request(
                method,
                client.address.rstrip("/") + path,
                data=body.model_dump_json().encode() if body else None,
                headers=headers,
                params=parameters,
                allow_redirects=False,
            ) as response,
        ):
            return response.status, await response.read()
    except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as error:
        raise UnreachableError(
            f"{client.address} can't be reached: {error}; check --address"
        ) from error
    except (aiohttp.InvalidURL, ValueError) as error:
        raise UsageError(f"--address={client.address}: not an address") from error
    except (TimeoutError, aiohttp.ClientError) as error:
        raise LostAnswerError(
            f"{client.address} gave no answer: {error or type(error).__name__}"
        ) from error
