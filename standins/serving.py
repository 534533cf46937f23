"""Serves a Sanic application in its own event loop until a signal stops it."""

import asyncio
import signal
import socket
from collections.abc import Awaitable, Callable

import uvloop
from pydantic import ValidationError
from sanic import Sanic, response

LONG_TIMEOUT_S = 3600


def make_app(name: str) -> Sanic:
    """Make an application whose timeouts are longer than any request of a test.

    :param name: The name of the application, of letters, digits, ``-`` and ``_``;
        it must be unique in the process.
    """
    app = Sanic(name, configure_logging=False)
    app.config.RESPONSE_TIMEOUT = LONG_TIMEOUT_S
    app.config.REQUEST_TIMEOUT = LONG_TIMEOUT_S
    app.config.KEEP_ALIVE_TIMEOUT = LONG_TIMEOUT_S
    app.config.FALLBACK_ERROR_FORMAT = "json"
    app.error_handler.add(ValidationError, _refuse_malformed)
    return app


def run_server(
    build_app: Callable[[], Sanic],
    host: str,
    port: int,
    make_background_coroutines: Callable[[Sanic], list[Awaitable]],
) -> None:
    """Serve until SIGTERM or SIGINT is received or a background task ends.

    When the server is ready, it prints one line with its host and port on standard
    output.

    :param build_app: Makes the application; called inside the event loop.
    :param host: The address to listen on.
    :param port: The port to listen on; 0 selects a free port.
    :param make_background_coroutines: Returns coroutines to run beside the server.
    """
    uvloop.install()
    asyncio.run(_serve(build_app, host, port, make_background_coroutines))


async def _refuse_malformed(request, error):
    return response.text(str(error), status=400)


async def _serve(build_app, host, port, make_background_coroutines):
    app = build_app()
    listener = socket.create_server((host, port), backlog=1024)
    server = await app.create_server(
        sock=listener, return_asyncio_server=True, access_log=False
    )
    await server.startup()
    await server.before_start()
    await server.start_serving()
    app.ctx.server = server
    tasks = [
        asyncio.ensure_future(coroutine)
        for coroutine in make_background_coroutines(app)
    ]
    port = listener.getsockname()[1]
    print(f"listening host={host} port={port}", flush=True)
    await _wait_for_signal(tasks)
    server.close()


async def _wait_for_signal(tasks):
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stop.set)
    stop_task = asyncio.ensure_future(stop.wait())
    done, _ = await asyncio.wait(
        [stop_task, *tasks], return_when=asyncio.FIRST_COMPLETED
    )
    for task in done - {stop_task}:
        task.result()
