"""The control routes that every upstream's stand-in has besides its service."""

import os
from collections.abc import Callable

from sanic import Request, Sanic, response

from standins.faults import FaultState, UpstreamFaults, set_faults
from standins.load_report import LoadHistory, LoadSample, make_report


def add_control_routes(
    app: Sanic,
    *,
    fault_state: FaultState,
    history: LoadHistory,
    read_current: Callable[[], LoadSample],
    read_statistics: Callable[[], dict],
) -> None:
    """Add ``/load``, ``/faults`` and ``/statistics``.

    :param app: The stand-in's application.
    :param fault_state: The faults of the stand-in.
    :param history: The past load of the stand-in.
    :param read_current: Returns the current load of the stand-in.
    :param read_statistics: Returns the counters of the stand-in.
    """

    async def get_load(request: Request):
        return response.json(make_report(history, fault_state, read_current()))

    async def get_statistics(request: Request):
        return response.json(read_statistics())

    async def change_faults(request: Request):
        faults = UpstreamFaults.model_validate_json(request.body)
        set_faults(fault_state, faults)
        if faults.exit_code is not None:
            os._exit(faults.exit_code)
        if faults.is_closed:
            app.ctx.server.close()
        if faults.drop_connections or faults.is_closed:
            _drop_connections(app, request)
        return response.json(faults.model_dump())

    app.add_route(get_load, "/load", name="load")
    app.add_route(get_statistics, "/statistics", name="statistics")
    app.add_route(change_faults, "/faults", methods=["POST"], name="faults")


def _drop_connections(app, request):
    for protocol in list(app.ctx.server.connections):
        if protocol.transport is not request.transport:
            protocol.transport.abort()
