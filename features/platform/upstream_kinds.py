"""The responses of the scripted upstreams, by the name used in the features."""

import re

from features.platform.site import ID_LINE, answer_correctly
from features.scripted_upstream import ScriptedUpstream

LAST_EVENT = re.compile(rb"last-event-id: *(\d+)", re.IGNORECASE)
STREAM_HEAD = (
    b"HTTP/1.1 200 OK\r\nX-Attempt-Id: %b\r\nX-Response-Signature: s.1\r\n"
    b"Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
)
SIGNATURE = b"X-Response-Signature: s.1\r\n"
LAST_CHUNK = b"0\r\n\r\n"


def read_id(head):
    found = ID_LINE.search(head)
    return found[1] if found else b"none"


def write_status(head, status, extra=b"", body=b"no"):
    return (
        b"HTTP/1.1 %b\r\nX-Attempt-Id: %b\r\n%bContent-Length: %d\r\n\r\n%b"
        % (status, read_id(head), extra, len(body), body),
    )


def write_stream(head, first, last, *, is_whole):
    chunks = []
    for number in range(first, last + 1):
        event = b"id: %d\ndata: w%d\n\n" % (number, number)
        chunks.append(b"%x\r\n%b\r\n" % (len(event), event))
    end = (LAST_CHUNK,) if is_whole else ()
    return (STREAM_HEAD % read_id(head), *chunks, *end)


def resume_stream(head):
    after = LAST_EVENT.search(head)
    return write_stream(head, int(after[1]) + 1 if after else 1, 4, is_whole=True)


def fail_as_stream(head, body):
    extra = SIGNATURE + b"Content-Type: text/event-stream\r\n"
    return write_status(head, b"500 Error", extra, body)


def answer_unsigned(head):
    return tuple(
        part.replace(b"X-Response-Signature: s.1\r\n", b"")
        for part in answer_correctly(head)
    )


def answer_other_id(head):
    return tuple(
        part.replace(read_id(head), b"other") for part in answer_correctly(head)
    )


def answer_cut(head):
    return tuple(part[:-2] for part in answer_correctly(head))


def fail_unframed(head, body):
    (failure,) = write_status(head, b"500 Error", SIGNATURE, body)
    return (failure.replace(b"Content-Length: %d\r\n" % len(body), b""),)


def answer_unframed(head):
    return tuple(
        part.replace(b"Content-Length: 4\r\n", b"") for part in answer_correctly(head)
    )


KINDS = {
    "answers correctly": (answer_correctly, "keep"),
    "leaves the signature out": (answer_unsigned, "keep"),
    "answers with another request's id": (answer_other_id, "keep"),
    "cuts its answer": (answer_cut, "close"),
    "sends bytes that are no answer": (
        lambda head: (b"\x00\x01\x02 what\r\n\r\n",),
        "close",
    ),
    "answers 503 without a proof": (
        lambda head: write_status(head, b"503 Busy"),
        "keep",
    ),
    "wants a rest and doesn't say that it ran nothing": (
        lambda head: write_status(head, b"503 Busy", b"Retry-After: 2\r\n"),
        "keep",
    ),
    "answers without a length": (answer_unframed, "close"),
    "fails": (
        lambda head: write_status(head, b"500 Error", SIGNATURE),
        "keep",
    ),
    "fails with an empty body": (
        lambda head: write_status(head, b"500 Error", SIGNATURE, b""),
        "keep",
    ),
    "fails without a length and with a body": (
        lambda head: fail_unframed(head, b"no"),
        "close",
    ),
    "fails without a length and without one": (
        lambda head: fail_unframed(head, b""),
        "close",
    ),
    "fails with the type of a stream and an empty body": (
        lambda head: fail_as_stream(head, b""),
        "keep",
    ),
    "fails with the type of a stream and an event": (
        lambda head: fail_as_stream(head, b"id: 1\ndata: failed\n\n"),
        "keep",
    ),
    "sends the status 000": (
        lambda head: write_status(head, b"000 None", SIGNATURE),
        "keep",
    ),
    "refuses": (
        lambda head: write_status(head, b"503 Busy", b"X-Not-Executed: 1\r\n"),
        "keep",
    ),
    "is another process": (lambda head: write_status(head, b"421 Misdirected"), "keep"),
    "is silent": (lambda head: (), "silent"),
    "resumes after the last event": (resume_stream, "keep"),
    "cuts its stream after 2 events": (
        lambda head: write_stream(head, 1, 2, is_whole=False),
        "reset",
    ),
    "streams 3 events": (lambda head: write_stream(head, 1, 3, is_whole=True), "keep"),
    "streams 40 events": (
        lambda head: write_stream(head, 1, 40, is_whole=True),
        "keep",
    ),
}


def make_upstream(kind):
    answer, ending = KINDS[kind]
    return ScriptedUpstream(make_parts=answer, connection_ending=ending)
