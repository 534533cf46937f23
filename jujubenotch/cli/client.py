"""The HTTP client for the operator API of one instance."""

import ssl
from dataclasses import dataclass
from typing import TypeVar

import aiohttp
from pydantic import BaseModel, ValidationError

from jujubenotch.cli.errors import (
    CliError,
    NoResponseError,
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
    """The address of an instance, and the options of requests to it.

    :param address: The base URL, ``http://host:port`` or ``https://host:port``.
    :param key: The operator's key; empty sends none.
    :param timeout_s: The timeout of each request, in seconds.
    :param tls: The TLS context for an ``https`` address; ``None`` uses the default
        one.

    >>> OperatorClient(address="http://127.0.0.1:8081", key="", timeout_s=30.0).tls
    """

    address: str
    key: str
    timeout_s: float
    tls: ssl.SSLContext | None = None


async def send_request(
    client: OperatorClient,
    method: str,
    path: str,
    model: type[Document],
    *,
    body: BaseModel | None = None,
    parameters: dict[str, str] | None = None,
    statuses: frozenset[int] = frozenset({200}),
) -> Document:
    """Send one request and read the response.

    :param client: The instance to send it to.
    :param method: The HTTP method.
    :param path: The path of the URL.
    :param model: The model of the response document.
    :param body: The document to send.
    :param parameters: The query parameters.
    :param statuses: The statuses whose response matches ``model``; any other
        response must be an :class:`ErrorDocument`.
    :returns: The response document.
    :raises UsageError: The address of the instance is invalid.
    :raises UnreachableError: No connection could be opened.
    :raises NoResponseError: No response was received, or the instance failed.
    :raises CliError: The instance refused the request, or the response is invalid.
    """
    status, content = await _fetch_response(client, method, path, body, parameters)
    try:
        if status in statuses:
            return model.model_validate_json(content)
        refusal = ErrorDocument.model_validate_json(content)
    except ValidationError as error:
        raise CliError(
            f"{client.address} sent a response with status {status} that is not "
            "from an instance of jujubenotch; check --address"
        ) from error
    if status >= 500:
        raise NoResponseError(refusal.detail)
    raise _ERROR_BY_STATUS.get(status, CliError)(refusal.detail)


async def _fetch_response(client, method, path, body, parameters):
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
        raise UsageError(
            f"--address={client.address}: not an address; give http://host:port or "
            "https://host:port"
        ) from error
    except (TimeoutError, aiohttp.ClientError) as error:
        raise NoResponseError(
            f"{client.address} did not respond: {error or type(error).__name__}"
        ) from error
