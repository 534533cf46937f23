"""Calls the platform's API, which accepts calls of one instance at a time."""

from collections.abc import Mapping
from dataclasses import dataclass

import aiohttp

from jujubenotch.leases import ApiResult, UpstreamOrder
from jujubenotch.settings.forwarder import Address


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
        return ApiResult.NOT_DONE

    async def order_upstreams(
        self, order: UpstreamOrder, holder: str, token: int, timeout_s: float
    ) -> ApiResult:
        """Order upstreams of a service in a data centre.

        :param order: The order.
        :param holder: The name of this instance.
        :param token: The fencing token.
        :param timeout_s: The longest time to wait for the response.
        """
        return ApiResult.NOT_DONE
