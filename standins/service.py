"""A plain service's stand-in: any method and path, one deterministic answer.

Usage:
    service [options]

Options:
    --name=NAME       Its name [default: service].
    --host=HOST       Address to listen on [default: 127.0.0.1].
    --port=PORT       Port; 0 takes a free one [default: 0].
    --slots=N         Requests run at once [default: 8].
    --delay-ms=MS     Time that a request runs [default: 50].
    --load-lag-s=S    Age of the load report [default: 0].
    --journal=FILE    Journal of what it ran.
"""

import asyncio
import time
from dataclasses import dataclass

from docopt import docopt
from sanic import Request, Sanic, response

from standins.answers import compute_call_digest, make_expected_service_response
from standins.faults import FaultState
from standins.journal import Journal, open_journal
from standins.load_report import LoadHistory, LoadSample, sample_load
from standins.serving import make_app, run_server
from standins.upstream_controls import add_control_routes

METHODS = ("GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS")


@dataclass(kw_only=True)
class Service:
    """The complete state of one plain service.

    :param slots: Number of requests that can run at once.
    :param delay_s: Duration of a request, in seconds.
    :param free_slots: Semaphore that limits the running requests to ``slots``.
    """

    name: str
    slots: int
    delay_s: float
    fault_state: FaultState
    history: LoadHistory
    journal: Journal
    free_slots: asyncio.Semaphore
    running: int = 0
    waiting: int = 0
    completed: int = 0


def make_service(arguments: dict[str, str]) -> Service:
    """Make a service from its command-line arguments.

    :param arguments: The arguments, parsed by docopt.
    """
    slots = int(arguments["--slots"])
    return Service(
        name=arguments["--name"],
        slots=slots,
        delay_s=float(arguments["--delay-ms"]) / 1000,
        fault_state=FaultState(),
        history=LoadHistory(lag_s=float(arguments["--load-lag-s"]), slots=slots),
        journal=open_journal(arguments["--journal"]),
        free_slots=asyncio.Semaphore(slots),
    )


def make_service_app(service: Service) -> Sanic:
    """Make the service's HTTP application.

    :param service: The service that the application serves.
    """
    app = make_app(f"service-{service.name}")

    async def handle_call(request: Request, path: str = ""):
        return await _handle_call(service, request)

    add_control_routes(
        app,
        fault_state=service.fault_state,
        history=service.history,
        read_current=lambda: read_load(service),
        read_statistics=lambda: {"name": service.name, "completed": service.completed},
    )
    app.add_route(handle_call, "/", methods=METHODS, name="root")
    app.add_route(handle_call, "/<path:path>", methods=METHODS, name="any")
    return app


def read_load(service: Service) -> LoadSample:
    """Return the current load.

    :param service: The service.
    """
    return LoadSample(
        time_s=time.monotonic(), running=service.running, waiting=service.waiting
    )


async def _handle_call(service, request):
    if service.fault_state.faults.is_refusing:
        return response.empty(503, headers={"X-Not-Started": "true"})
    await service.fault_state.responses_allowed.wait()
    call = (request.method, request.raw_url.decode(), request.body)
    identity = {
        "request_id": request.headers.get("x-request-id"),
        "idempotency_key": request.headers.get("idempotency-key"),
        "digest": compute_call_digest(*call),
    }
    service.journal("received", **identity)
    await _acquire_slot(service)
    # A request that has started runs to its end even if the caller disconnects.
    await asyncio.shield(_run_request(service, identity))
    await asyncio.sleep(service.fault_state.faults.answer_delay_s)
    await service.fault_state.responses_allowed.wait()
    if service.fault_state.faults.is_losing_answers:
        request.transport.abort()
    body = make_expected_service_response(*call)
    return response.raw(body, content_type="application/json")


async def _acquire_slot(service):
    service.waiting += 1
    try:
        await service.free_slots.acquire()
    finally:
        service.waiting -= 1


async def _run_request(service, identity):
    service.running += 1
    service.journal("started", **identity)
    try:
        await asyncio.sleep(service.delay_s * service.fault_state.faults.slowdown)
        service.completed += 1
        service.journal("ended", **identity, end_state="completed")
    finally:
        service.running -= 1
        service.free_slots.release()


def main() -> None:
    """Run the plain service's stand-in."""
    arguments = docopt(__doc__)
    state = {}

    def build_app():
        state["service"] = make_service(arguments)
        return make_service_app(state["service"])

    def make_background_coroutines(app):
        service = state["service"]
        return [sample_load(service.history, lambda: read_load(service))]

    run_server(
        build_app,
        arguments["--host"],
        int(arguments["--port"]),
        make_background_coroutines,
    )


if __name__ == "__main__":
    main()
