from dataclasses import dataclass
from types import SimpleNamespace

from behave import given, then, when
from sanic.exceptions import SanicException

from jujubenotch.callers.forward_errors import choose_error_status
from jujubenotch.detour import HELPER_PROTOCOL
from jujubenotch.outcomes import OUTCOME_HEADER, REQUEST_HEADER


@dataclass(frozen=True, kw_only=True)
class Response:
    status: int
    headers: dict

    def find_header(self, name):
        return self.headers.get(name, "")


@given('a request "{request_id}" that another instance was asked to send on')
def give_request(context, request_id):
    context.call = SimpleNamespace(request_id=request_id)


@when(
    "the response has the status {status:d}, the outcome {outcome} and names {request}"
)
def classify(context, status, outcome, request):
    headers = {OUTCOME_HEADER: outcome, REQUEST_HEADER: request}
    response = Response(
        status=status,
        headers={name: value for name, value in headers.items() if value != "nothing"},
    )
    context.kind = HELPER_PROTOCOL.classify_answer(context.call, response)


@then("it is taken as {kind}")
def check_kind(context, kind):
    assert context.kind == kind, context.kind


@when("an error with the status {status:d} is raised {when} the dispatch")
def raise_error(context, status, when):
    error = SanicException("an error", status_code=status)
    context.status = choose_error_status(error, is_dispatched=when == "after")


@then("the caller gets the status {status:d}")
def check_status(context, status):
    assert context.status == status, context.status
