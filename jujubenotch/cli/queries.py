"""The commands that change nothing."""

from urllib.parse import quote

from jujubenotch.cli import render
from jujubenotch.cli.client import APPLY_STATUSES, OperatorClient, send_request
from jujubenotch.cli.errors import ExitCode
from jujubenotch.operators import (
    ApplyRequest,
    ApplyResponse,
    InstancesDocument,
    PreviewRequest,
    PreviewResponse,
    RecordsDocument,
    StatusDocument,
    TraceDocument,
    UpstreamsDocument,
)
from jujubenotch.records import (
    InvalidRecords,
    build_configuration,
    parse_documents,
)

EXIT_CODE_BY_RESULT = {
    "preview": ExitCode.DIFFERENT,
    "invalid": ExitCode.INVALID,
    "conflict": ExitCode.CONFLICT,
}


async def get_records(
    client: OperatorClient, kind: str, name: str, *, is_json: bool
) -> ExitCode:
    """Print the records in force, as TOML that can be edited and applied.

    :param client: The instance to query.
    :param kind: The kind to print; an empty string prints all kinds.
    :param name: The name to print; an empty string prints all names.
    :param is_json: Whether to print JSON.
    :returns: The exit code.
    """
    filters = {"kind": kind, "name": name}
    parameters = {key: value for key, value in filters.items() if value}
    response = await send_request(
        client, "GET", "/v1/records", RecordsDocument, parameters=parameters
    )
    _print_response(response, render.print_records, is_json=is_json)
    return ExitCode.DONE


async def diff_files(
    client: OperatorClient, document: ApplyRequest, *, is_json: bool
) -> ExitCode:
    """Print the differences that a change would make.

    :param client: The instance to query.
    :param document: The change, with ``dry_run`` set.
    :param is_json: Whether to print JSON.
    :returns: ``DIFFERENT`` if records would change, ``DONE`` if none would, or the
        exit code of the error.
    """
    response = await send_request(
        client,
        "POST",
        "/v1/records/apply",
        ApplyResponse,
        body=document,
        statuses=APPLY_STATUSES,
    )
    _print_response(response, render.print_apply_response, is_json=is_json)
    if response.result == "preview" and not response.differences:
        return ExitCode.DONE
    return EXIT_CODE_BY_RESULT.get(response.result, ExitCode.REFUSED)


def validate_files(
    texts: dict[str, str], *, is_partial: bool, is_json: bool
) -> ExitCode:
    """Validate files without contacting an instance, and print every problem.

    :param texts: The text of each file, by file name.
    :param is_partial: Whether the files contain only a part of the records, so
        that they may refer to records that are not in them.
    :param is_json: Whether to print JSON.
    :returns: The exit code.
    """
    result = parse_documents(texts)
    if not isinstance(result, InvalidRecords) and not is_partial:
        result = build_configuration(result.records, revision=1)
    problems = result.problems if isinstance(result, InvalidRecords) else ()
    render.print_problems(problems, is_json=is_json)
    return ExitCode.INVALID if problems else ExitCode.DONE


async def show_status(client: OperatorClient, *, is_json: bool) -> ExitCode:
    """Print the state of an instance.

    :param client: The instance to query.
    :param is_json: Whether to print JSON.
    :returns: The exit code.
    """
    response = await send_request(client, "GET", "/v1/status", StatusDocument)
    _print_response(response, render.print_fields, is_json=is_json)
    return ExitCode.DONE


async def show_upstreams(client: OperatorClient, *, is_json: bool) -> ExitCode:
    """Print the upstreams as an instance sees them.

    :param client: The instance to query.
    :param is_json: Whether to print JSON.
    :returns: The exit code.
    """
    response = await send_request(client, "GET", "/v1/upstreams", UpstreamsDocument)
    _print_response(
        response,
        lambda response: render.print_table(response.upstreams),
        is_json=is_json,
    )
    return ExitCode.DONE


async def show_instances(client: OperatorClient, *, is_json: bool) -> ExitCode:
    """Print the instances as one of them sees them.

    :param client: The instance to query.
    :param is_json: Whether to print JSON.
    :returns: The exit code.
    """
    response = await send_request(client, "GET", "/v1/instances", InstancesDocument)
    _print_response(
        response,
        lambda response: render.print_table(response.instances),
        is_json=is_json,
    )
    return ExitCode.DONE


async def explain_request(
    client: OperatorClient, request_id: str, *, is_json: bool
) -> ExitCode:
    """Print the trace of a request, one event per line.

    :param client: The instance to query.
    :param request_id: The id of the request.
    :param is_json: Whether to print JSON.
    :returns: The exit code.
    """
    path = f"/v1/requests/{quote(request_id, safe='')}"
    response = await send_request(client, "GET", path, TraceDocument)
    _print_response(response, render.print_trace, is_json=is_json)
    return ExitCode.DONE


async def preview_request(
    client: OperatorClient, request: PreviewRequest, *, is_json: bool
) -> ExitCode:
    """Print where a request would go now, and why; it is not sent.

    :param client: The instance to query, by the address of its metrics.
    :param request: The request.
    :param is_json: Whether to print JSON.
    :returns: ``DONE`` when it would be sent, ``REFUSED`` when it would be refused.
    """
    response = await send_request(
        client, "POST", "/v1/preview", PreviewResponse, body=request
    )
    _print_response(response, render.print_preview, is_json=is_json)
    return ExitCode.DONE if response.upstream else ExitCode.REFUSED


def _print_response(response, print_text, *, is_json):
    if is_json:
        render.print_json(response)
    else:
        print_text(response)
