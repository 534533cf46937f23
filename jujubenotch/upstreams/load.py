"""Reads the load that an upstream reports."""

import aiohttp
from pydantic import BaseModel, ConfigDict, NonNegativeFloat, NonNegativeInt
from pydantic import ValidationError as InvalidLoadError

from jujubenotch.records import Upstream
from jujubenotch.upstreams.connections import UpstreamConnections
from jujubenotch.upstreams.errors import ConnectionLostError
from jujubenotch.upstreams.exchange import translate_errors
from jujubenotch.work import LoadReport

LOAD_PATH = "/load"
LOAD_TIMEOUT = aiohttp.ClientTimeout(total=1.0)


class LoadDocument(BaseModel):
    """The response body of ``GET /load``.

    :param running: The number of requests that the upstream runs.
    :param waiting: The number of requests in the upstream's own queue.
    :param slots: The number of requests that the upstream can run at once.
    :param is_leaving: Whether the upstream is about to leave service.
    :param age_s: The age of these values, in seconds.

    >>> LoadDocument(running=1, waiting=0, slots=4).age_s
    0.0
    """

    model_config = ConfigDict(extra="ignore")

    running: NonNegativeInt
    waiting: NonNegativeInt
    slots: NonNegativeInt
    is_leaving: bool = False
    age_s: NonNegativeFloat = 0.0


async def read_load(connections: UpstreamConnections, upstream: Upstream) -> LoadReport:
    """Ask an upstream for its load.

    :param connections: The connections to use.
    :param upstream: The upstream to ask.
    :returns: The report; its age is in seconds.
    :raises UpstreamError: The upstream did not return a valid report within 1 s.
    """
    url = upstream.url + LOAD_PATH
    with translate_errors():
        response = await connections.reusable.get(url, timeout=LOAD_TIMEOUT)
        async with response:
            body = await response.read()
    try:
        document = LoadDocument.model_validate_json(body)
    except InvalidLoadError as error:
        raise ConnectionLostError(
            f"{url} returned an invalid load report; it is ignored"
        ) from error
    return LoadReport(
        running=document.running,
        waiting=document.waiting,
        slots=document.slots,
        is_leaving=document.is_leaving,
        age_s=document.age_s,
    )
