"""A bare forwarder: sanic in, aiohttp out, no policy.

Usage:
    forwarder --upstream=URL --port=PORT
"""

import asyncio

import aiohttp
import uvloop
from docopt import docopt
from sanic import Sanic

from jujubenotch.listeners import bind_socket, start_listener

NO_TIMEOUT_S = 365 * 24 * 3600


def build_app(upstream: str, session: aiohttp.ClientSession) -> Sanic:
    """Build the sanic application that forwards each request to the upstream.

    :param upstream: The base URL of the only upstream.
    :param session: The HTTP client session for the upstream.
    :returns: The application.
    """
    app = Sanic("forwarder", configure_logging=False)
    app.config.RESPONSE_TIMEOUT = NO_TIMEOUT_S

    async def forward(request):
        headers = {"Content-Type": "application/json"}
        async with session.post(
            upstream + request.path, data=request.body, headers=headers
        ) as upstream_response:
            response = await request.respond(
                status=upstream_response.status,
                content_type=upstream_response.content_type,
            )
            async for chunk in upstream_response.content.iter_any():
                await response.send(chunk)
            await response.eof()

    app.add_route(forward, "/v1/chat/completions", methods=["POST"])
    return app


async def run(upstream: str, port: int) -> None:
    """Serve until the process is terminated.

    :param upstream: The base URL of the only upstream.
    :param port: The port to listen on.
    """
    connector = aiohttp.TCPConnector(limit=0)
    async with aiohttp.ClientSession(connector=connector) as session:
        app = build_app(upstream, session)
        await start_listener(app, bind_socket("127.0.0.1", port))
        await asyncio.Event().wait()


def main() -> None:
    """Run the forwarder from the command line."""
    options = docopt(__doc__)
    uvloop.install()
    asyncio.run(run(options["--upstream"], int(options["--port"])))


if __name__ == "__main__":
    main()
