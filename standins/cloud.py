"""A stand-in of the platform's API, which accepts calls of one instance at a time."""

import asyncio
from dataclasses import dataclass, field

import orjson
from aiohttp import web

OK = 200
CONFLICT = 409


@dataclass(frozen=True, kw_only=True)
class CloudCall:
    """A call that the API received.

    :param subject: What the highest token is kept for.
    """

    subject: tuple[str, ...]
    holder: str
    token: int
    body: dict


@dataclass(kw_only=True)
class CloudState:
    """The calls received and the active faults of the API.

    :param is_fenced: Whether lower tokens than the highest one are refused.
    :param status: The status of the responses.
    :param is_silent: Whether calls are executed but never get a response.
    :param closes: Whether connections are closed without a response.
    :param delay_s: Time until a response.
    :param highest: The highest token by subject.
    """

    is_fenced: bool = True
    status: int = OK
    is_silent: bool = False
    closes: bool = False
    delay_s: float = 0.0
    calls: list[CloudCall] = field(default_factory=list)
    highest: dict[tuple[str, ...], int] = field(default_factory=dict)


def build_cloud_app(state: CloudState) -> web.Application:
    """Build the API's HTTP interface.

    :param state: The state; changed in place.
    :returns: The application.
    """

    async def serve(request):
        body = orjson.loads(await request.read())
        subject = (request.path, body.get("service", ""), body.get("zone", ""))
        call = CloudCall(
            subject=subject,
            holder=request.headers["X-Lease-Holder"],
            token=int(request.headers["X-Fencing-Token"]),
            body=body,
        )
        state.calls.append(call)
        if state.closes:
            request.transport.abort()
        if state.is_silent or state.closes:
            await asyncio.Event().wait()
        await asyncio.sleep(state.delay_s)
        highest = state.highest.get(subject, 0)
        if state.is_fenced and call.token < highest:
            return web.Response(status=CONFLICT)
        if state.status == OK:
            state.highest[subject] = max(highest, call.token)
        return web.Response(status=state.status)

    app = web.Application()
    app.router.add_post("/usage", serve)
    app.router.add_post("/scale", serve)
    return app
