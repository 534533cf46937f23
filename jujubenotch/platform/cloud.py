"""Calls the platform's API, which accepts calls of one instance at a time."""

import asyncio
from collections.abc import Mapping
from dataclasses import dataclass

import aiohttp
import orjson

from jujubenotch.forwarding import read_boot_clock_s
from jujubenotch.leases import ApiResult, UpstreamOrder
from jujubenotch.settings.forwarder import Address
from jujubenotch.upstreams import AnswerTooLargeError, CleanConnector, read_bounded

HOLDER = "X-Lease-Holder"
TOKEN = "X-Fencing-Token"
USAGE_PATH = "/usage"
ORDER_PATH = "/scale"
CONNECT_TIMEOUT_S = 0.5
CONFLICT = 409
LIMITED = 429
UNAVAILABLE = 503
# The body is read only to its end.
MAX_ANSWER_BYTES = 1024 * 1024


class _CallOverdueError(Exception):
    """The deadline of a call passed before anything was sent."""


@dataclass(frozen=True, kw_only=True)
class CloudClient:
    """A client of the platform's API.

    :param session: The connections to the API.
    :param address: The address of the API.
    """

    session: aiohttp.ClientSession
    address: Address

    async def send_usage(
        self,
        window: int,
        counts: Mapping[str, int],
        holder: str,
        token: int,
        timeout_s: float,
    ) -> ApiResult:
        """Report the requests of each team in a window.

        :param window: The number of the window.
        :param counts: The number of requests by team.
        :param holder: The name of this instance.
        :param token: The fencing token.
        :param timeout_s: The longest time to wait for the response.
        """
        body = {"window-id": window, "counts": dict(counts)}
        return await self._call(USAGE_PATH, body, holder, token, timeout_s)

    async def order_upstreams(
        self, order: UpstreamOrder, holder: str, token: int, timeout_s: float
    ) -> ApiResult:
        """Order upstreams of a service in a data centre.

        :param order: The order.
        :param holder: The name of this instance.
        :param token: The fencing token.
        :param timeout_s: The longest time to wait for the response.
        """
        body = {
            "service": order.service,
            "zone": order.data_centre,
            "desired-count": order.count,
        }
        if order.is_preemptible:
            body["preemptible"] = True
        return await self._call(ORDER_PATH, body, holder, token, timeout_s)

    async def _call(self, path, body, holder, token, timeout_s):
        end_s = read_boot_clock_s() + timeout_s
        headers = {
            HOLDER: holder,
            TOKEN: str(token),
            "Content-Type": "application/json",
        }
        content = orjson.dumps(body, option=orjson.OPT_SORT_KEYS)
        url = f"http://{self.address.text}{path}"
        try:
            async with asyncio.timeout(timeout_s):
                async with self.session.post(
                    url,
                    data=content,
                    headers=headers,
                    allow_redirects=False,
                    trace_request_ctx=end_s,
                ) as answer:
                    await read_bounded(answer, MAX_ANSWER_BYTES)
        except (
            _CallOverdueError,
            aiohttp.ClientConnectorError,
            aiohttp.ConnectionTimeoutError,
        ):
            return ApiResult.NOT_DONE
        # The event loop raises RuntimeError for a connection whose file descriptor
        # was closed by a cancelled call.
        except (
            aiohttp.ClientError,
            OSError,
            RuntimeError,
            TimeoutError,
            AnswerTooLargeError,
        ):
            return ApiResult.UNKNOWN
        return classify_status(answer.status)


def open_cloud(address: Address) -> CloudClient:
    """Create a client; requires a running event loop.

    :param address: The address of the API.
    :returns: The client; close its session when it is no longer needed.
    """
    trace = aiohttp.TraceConfig()
    trace.on_request_headers_sent.append(_check_deadline)
    session = aiohttp.ClientSession(
        # The API may close an idle connection at any time, and a call on it would then
        # have an unknown result.
        connector=CleanConnector(limit=0, force_close=True),
        timeout=aiohttp.ClientTimeout(total=None, sock_connect=CONNECT_TIMEOUT_S),
        cookie_jar=aiohttp.DummyCookieJar(),
        trace_configs=[trace],
    )
    return CloudClient(session=session, address=address)


async def _check_deadline(_session, context, _parameters):
    """Cancel a call that was delayed while the process was suspended.

    It runs just before the first byte is written, when the connection is open.
    """
    if read_boot_clock_s() >= context.trace_request_ctx:
        raise _CallOverdueError


def classify_status(status: int) -> ApiResult:
    """Return what the status of a response proves.

    A status that isn't part of the API's protocol, such as one of a proxy, proves
    nothing.

    :param status: The status.

    >>> classify_status(409)
    <ApiResult.CONFLICT: 'conflict'>
    """
    if 200 <= status < 300:
        return ApiResult.DONE
    return {
        CONFLICT: ApiResult.CONFLICT,
        LIMITED: ApiResult.LIMITED,
        UNAVAILABLE: ApiResult.NOT_DONE,
    }.get(status, ApiResult.UNKNOWN)
