"""The commands that change records: apply and drain."""

import asyncio
from urllib.parse import quote

from jujubenotch.cli.client import APPLY_STATUSES, OperatorClient, send_request
from jujubenotch.cli.errors import (
    ExitCode,
    NoResponseError,
    UnreachableError,
    UnsettledError,
)
from jujubenotch.cli.render import print_apply_response, print_drain, print_json
from jujubenotch.operators import (
    ApplyRequest,
    ApplyResponse,
    DrainRequest,
    DrainResponse,
)
from jujubenotch.outcomes import ChangeRefusalReason

MAX_ATTEMPTS = 5
RETRY_WAIT_S = 0.5
EXIT_CODE_BY_RESULT = {
    "accepted": ExitCode.DONE,
    "unchanged": ExitCode.DONE,
    "invalid": ExitCode.INVALID,
    "conflict": ExitCode.CONFLICT,
    "refused": ExitCode.REFUSED,
}


async def apply_files(
    client: OperatorClient, document: ApplyRequest, *, is_json: bool
) -> ExitCode:
    """Change the records, and retry the same change if its result is unknown.

    :param client: The instance to send the change to.
    :param document: The change. Its id makes a retry safe, because changes with
        the same id are made only once.
    :param is_json: Whether to print JSON.
    :returns: The exit code.
    :raises UnreachableError: No connection could be opened, and nothing was sent.
    :raises UnsettledError: After ``MAX_ATTEMPTS`` attempts it is unknown whether
        the change was made.
    """
    response = await _apply_with_retries(client, document)
    if is_json:
        print_json(response)
    else:
        print_apply_response(response)
    if response.reason == ChangeRefusalReason.UNSETTLED:
        return ExitCode.UNSETTLED
    return EXIT_CODE_BY_RESULT[response.result]


async def drain_upstream(
    client: OperatorClient, name: str, *, is_draining: bool, is_json: bool
) -> ExitCode:
    """Stop sending new requests to an upstream, or send them again.

    :param client: The instance to send the command to.
    :param name: The name of the upstream.
    :param is_draining: Whether to drain; ``False`` ends the drain.
    :param is_json: Whether to print JSON.
    :returns: The exit code.
    """
    path = f"/v1/upstreams/{quote(name, safe='')}/drain"
    response = await send_request(
        client,
        "POST",
        path,
        DrainResponse,
        body=DrainRequest(is_draining=is_draining),
    )
    if is_json:
        print_json(response)
    else:
        print_drain(response)
    return ExitCode.DONE if response.is_lasting else ExitCode.NOT_LASTING


async def _apply_with_retries(client, document) -> ApplyResponse:
    was_sent = False
    last_error = None
    for attempt in range(MAX_ATTEMPTS):
        if attempt:
            await asyncio.sleep(RETRY_WAIT_S * attempt)
        try:
            response = await send_request(
                client,
                "POST",
                "/v1/records/apply",
                ApplyResponse,
                body=document,
                statuses=APPLY_STATUSES,
            )
        except NoResponseError as error:
            was_sent = True
            last_error = error
        except UnreachableError as error:
            if not was_sent:
                raise
            last_error = error
        else:
            if response.reason != ChangeRefusalReason.UNSETTLED:
                return response
            was_sent = True
            last_error = response.detail
    raise UnsettledError(
        f"{last_error}\nThe change may have been made. Repeat the command with "
        f"--change-id={document.change_id}, so that it is made only once."
    )
