"""Decodes callers' requests and implements the platform's upstream protocol."""

import orjson

from jujubenotch.dispatch import AnswerKind, UpstreamProtocol, find_resume_point
from jujubenotch.forwarding import ArrivedRequest, PromptPart
from jujubenotch.outcomes import STATUSES_IMPLYING_NOT_RUN
from jujubenotch.platform.notices import MISDIRECTED_STATUS, read_notice
from jujubenotch.platform.units import MS_PER_S
from jujubenotch.work import LoadReport

REQUEST_ID = "x-attempt-id"
DEADLINE = "x-deadline-ms"
PROMPT_PARTS = "x-prompt-prefix"
TOKEN_COUNTS = "x-token-count"
LENGTH_HINT = "x-length-hint"
LAST_EVENT_ID = "last-event-id"
RESUMED_REQUEST = "resumes"
AUTHORIZATION = "authorization"
KEY_SCHEME = "bearer "
TENANT = "X-Tenant"
EXPECTED_INSTANCE = "X-Expect-Instance"
PRIORITY = "X-Request-Priority"
SIGNATURE = "X-Response-Signature"
NOT_EXECUTED = "X-Not-Executed"
INSTANCE_LOAD = "X-Instance-Load"
# The numbers of running requests, waiting requests and slots.
LOAD_COUNTS = 3
# No upstream has as many slots; a larger number is an error.
MAX_COUNT_DIGITS = 9
PERCENT = 100
REPORT_PATH = "/v1/report"
# A higher pace can't be told from a stalled upstream.
MAX_PACE_PERCENT = 100_000

# The headers that only this program may set for upstreams, and the hop-by-hop
# headers.
DROPPED_HEADERS = frozenset(
    {
        "connection",
        "content-length",
        "expect",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        DEADLINE,
        LAST_EVENT_ID,
        AUTHORIZATION,
        TENANT.lower(),
        EXPECTED_INSTANCE.lower(),
        PRIORITY.lower(),
        "x-expect-version",
        "x-cache-retention",
        "x-pin-ms",
        "x-kv-backup",
        "kv-from",
        "kv-fetch",
    }
)


def decode_request(
    method: str, path: str, headers: list[tuple[str, str]]
) -> ArrivedRequest:
    """Decode the request line and headers of a caller's request.

    :param method: The HTTP method.
    :param path: The path and query as sent.
    :param headers: Names in lower case and their values.
    :returns: The request.
    """
    found = dict(headers)
    prompt_tokens, answer_tokens = _read_token_counts(found.get(TOKEN_COUNTS, ""))
    wait_ms = _read_number(found.get(DEADLINE, ""))
    return ArrivedRequest(
        request_id=found.get(REQUEST_ID, ""),
        method=method,
        host=found.get("host", ""),
        path=path,
        wait_s=None if wait_ms is None else wait_ms / MS_PER_S,
        key=_read_key(found.get(AUTHORIZATION, "")),
        prompt=_read_parts(found.get(PROMPT_PARTS, "")),
        prompt_tokens=prompt_tokens,
        answer_tokens=answer_tokens,
        expected_tokens=int(_read_number(found.get(LENGTH_HINT, "")) or 0),
        last_event_id=found.get(LAST_EVENT_ID, ""),
        resumed_request_id=found.get(RESUMED_REQUEST, ""),
        headers=_keep_headers(headers, found.get("connection", "")),
    )


def _keep_headers(headers, connection):
    dropped = DROPPED_HEADERS
    if connection:
        dropped = dropped | {name.strip().lower() for name in connection.split(",")}
    return tuple((name, value) for name, value in headers if name not in dropped)


def _read_number(text):
    try:
        number = float(text)
    except ValueError:
        return None
    return number if 0 <= number < float("inf") else None


def _read_token_counts(text):
    prompt, _, answer = text.partition(",")
    return int(_read_number(prompt) or 0), int(_read_number(answer) or 0)


def _read_key(text):
    if not text.lower().startswith(KEY_SCHEME):
        return ""
    return text[len(KEY_SCHEME) :].strip()


def _read_parts(text):
    parts = []
    for entry in text.split(",") if text else ():
        part_id, _, tokens = entry.strip().partition(":")
        parts.append(PromptPart(part_id=part_id, tokens=int(_read_number(tokens) or 0)))
    return tuple(parts)


def _write_headers(upstream, call, progress, now_s):
    left_ms = max(1, int((call.deadline_s - now_s) * MS_PER_S))
    headers = [
        *call.headers,
        ("X-Deadline-Ms", str(left_ms)),
        (EXPECTED_INSTANCE, upstream.name),
        (PRIORITY, str(call.service_class.tier)),
    ]
    if call.team.name:
        headers.append((TENANT, call.team.name))
    last_event_id = find_resume_point(call, progress)
    if last_event_id:
        headers.append(("Last-Event-Id", last_event_id))
    return tuple(headers)


def _classify_answer(call, answer):
    echo = answer.find_header(REQUEST_ID)
    is_refusal = answer.status == MISDIRECTED_STATUS or answer.find_header(NOT_EXECUTED)
    if is_refusal and echo != call.request_id:
        # An upstream may repeat an earlier refusal on the same connection.
        return AnswerKind.UNPROVED
    if answer.status == MISDIRECTED_STATUS:
        return AnswerKind.MISDIRECTED
    if is_refusal:
        return AnswerKind.NOT_STARTED
    if answer.status in STATUSES_IMPLYING_NOT_RUN:
        # Only the header above proves it.
        return AnswerKind.UNPROVED
    if answer.find_header("Content-Encoding"):
        return AnswerKind.UNPROVED
    is_success = 200 <= answer.status < 300
    if echo != call.request_id and (echo or is_success):
        return AnswerKind.UNPROVED
    if is_success and not answer.find_header(SIGNATURE):
        return AnswerKind.UNPROVED
    return AnswerKind.OWN


def _is_for_other(call, answer):
    return answer.find_header(REQUEST_ID) not in ("", call.request_id)


def _read_load(answer):
    """Read the numbers of running requests, waiting requests and slots.

    Some upstreams add how long work takes at present, where 100 is the usual time.
    Figures that later versions of the platform may append are ignored.

    The response of another process than the expected one tells nothing of its load.
    """
    if answer.status == MISDIRECTED_STATUS:
        return None
    parts = answer.find_header(INSTANCE_LOAD).split(",")
    if len(parts) < LOAD_COUNTS:
        return None
    counts = [_read_count(part) for part in parts[:LOAD_COUNTS]]
    if None in counts:
        return None
    running, waiting, slots = counts
    pace = _read_pace(parts[LOAD_COUNTS]) if len(parts) > LOAD_COUNTS else None
    return LoadReport(running=running, waiting=waiting, slots=slots, pace=pace)


def _read_count(text):
    text = text.strip()
    if not text.isascii() or not text.isdigit() or len(text) > MAX_COUNT_DIGITS:
        return None
    return int(text)


def _read_pace(text):
    """Read how long work takes, as a multiple of the usual time."""
    percent = _read_number(text)
    if not percent or percent > MAX_PACE_PERCENT:
        return None
    return percent / PERCENT


def read_started_ms(report: bytes) -> int | None:
    """Read when an upstream's process started from what it says of itself.

    :param report: The report.
    :returns: The Unix time in milliseconds; ``None`` when the report doesn't tell.
    """
    try:
        started_ms = orjson.loads(report)["born"]
    except (orjson.JSONDecodeError, KeyError, TypeError):
        return None
    return started_ms if type(started_ms) is int and started_ms > 0 else None


PLATFORM_PROTOCOL = UpstreamProtocol(
    write_headers=_write_headers,
    classify_answer=_classify_answer,
    is_for_other=_is_for_other,
    read_load=_read_load,
    read_notice=read_notice,
    status_path=REPORT_PATH,
    read_started_ms=read_started_ms,
    request_id_header=REQUEST_ID,
)
