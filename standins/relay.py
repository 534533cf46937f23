"""A TCP relay whose routes are changed at run time over HTTP.

Usage:
    relay [--host=HOST] [--port=PORT] [--route=ROUTE]...

Options:
    --host=HOST     Address that the control listens on [default: 127.0.0.1].
    --port=PORT     Control port; 0 takes a free one [default: 0].
    --route=ROUTE   A route NAME=LISTEN-PORT:TARGET-HOST:TARGET-PORT.

`GET /routes` shows the routes, `PUT /routes/NAME` with target_host,
target_port, host and port (0 is free) opens one, `PATCH /routes/NAME` with mode or
delay_s changes it, and `POST /routes/NAME/silence` silences its connections.
"""

from docopt import docopt
from pydantic import BaseModel, ConfigDict, Field
from sanic import Request, Sanic, response

from standins.relay_core import (
    RelayMode,
    Route,
    close_route,
    open_route,
    set_mode,
    silence_relayed_connections,
)
from standins.serving import make_app, run_server


class RouteDocument(BaseModel):
    """The route that a ``PUT`` request opens."""

    model_config = ConfigDict(extra="forbid")

    target_host: str
    target_port: int
    host: str = "127.0.0.1"
    port: int = 0
    delay_s: float = Field(default=0.0, ge=0)


class RouteChange(BaseModel):
    """The changes that a ``PATCH`` request makes; ``None`` leaves a field unchanged."""

    model_config = ConfigDict(extra="forbid")

    mode: RelayMode | None = None
    delay_s: float | None = Field(default=None, ge=0)


def make_relay_app(routes: dict[str, Route]) -> Sanic:
    """Make the application that controls the relay.

    :param routes: The routes by name; the application changes this dictionary.
    """
    app = make_app("relay")

    async def show_routes(request: Request):
        return response.json(
            {name: _describe_route(route) for name, route in routes.items()}
        )

    async def put_route(request: Request, name: str):
        document = RouteDocument.model_validate_json(request.body)
        if name in routes:
            close_route(routes[name])
        route = Route(**document.model_dump())
        await open_route(route)
        routes[name] = route
        return response.json(_describe_route(route))

    async def change_route(request: Request, name: str):
        route_change = RouteChange.model_validate_json(request.body)
        await _apply_change(routes[name], route_change)
        return response.json(_describe_route(routes[name]))

    async def silence_route(request: Request, name: str):
        return response.json({"silenced": silence_relayed_connections(routes[name])})

    async def open_routes(app: Sanic):
        for route in routes.values():
            await open_route(route)

    app.add_route(show_routes, "/routes", name="show")
    app.add_route(put_route, "/routes/<name:str>", methods=["PUT"], name="put")
    app.add_route(change_route, "/routes/<name:str>", methods=["PATCH"], name="change")
    app.add_route(
        silence_route, "/routes/<name:str>/silence", methods=["POST"], name="silence"
    )

    async def refuse_unknown(request: Request, error: KeyError):
        return response.text(f"there is no route {error}", status=404)

    app.error_handler.add(KeyError, refuse_unknown)
    app.register_listener(open_routes, "before_server_start")
    return app


async def _apply_change(route, route_change):
    if route_change.delay_s is not None:
        route.delay_s = route_change.delay_s
    if route_change.mode is not None:
        await set_mode(route, route_change.mode)


def _describe_route(route):
    return {
        "port": route.port,
        "target": f"{route.target_host}:{route.target_port}",
        "mode": route.mode,
        "delay_s": route.delay_s,
        "connections": len(route.connections),
    }


def _parse_route(text):
    name, _, rest = text.partition("=")
    port, target_host, target_port = rest.split(":")
    route = Route(target_host=target_host, target_port=int(target_port), port=int(port))
    return name, route


def main() -> None:
    """Run the relay."""
    arguments = docopt(__doc__)
    routes = {}

    def build_app():
        routes.update(_parse_route(text) for text in arguments["--route"])
        return make_relay_app(routes)

    host, port = arguments["--host"], int(arguments["--port"])
    run_server(build_app, host, port, lambda app: [])


if __name__ == "__main__":
    main()
