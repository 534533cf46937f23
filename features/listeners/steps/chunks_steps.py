from behave import then, when

from jujubenotch.listeners.chunks import (
    BadChunkError,
    ChunkDecoder,
    ChunksTooLargeError,
    decode_chunks,
)

NEXT_REQUEST = b"POST / HTTP/1.1\r\n"
LAST = b"\r\n0\r\n\r\n"
MAX_BYTES = 1000
BODIES = {
    "with a sign before a size": b"\r\n+1\r\na" + LAST,
    "with a size of no digits": b"\r\n\r\na" + LAST,
    "with a size in underscores": b"\r\n1_0\r\n" + b"a" * 16 + LAST,
    "without a line end": b"\r\n1\r\nab" + LAST,
    "with a size line of 80 bytes": b"\r\n1;" + b"x" * 80 + b"\r\na" + LAST,
    "with a trailer": b"\r\n1\r\na\r\n0\r\nX-Name: 1\r\n\r\n",
    "over its bound": b"\r\n1F4\r\n" + b"a" * 500 + b"\r\n1F5\r\n",
    "over its bound at once": b"\r\nFFFFFFFFFF\r\n",
    "with an extension": b"\r\n1;name=value\r\na" + LAST,
}


def write_chunks(body, size):
    chunks = [body[start : start + size] for start in range(0, len(body), size)]
    return b"".join(b"\r\n%x\r\n%b" % (len(each), each) for each in chunks)


def decode_all(pieces, max_chunks=10000):
    decoder = ChunkDecoder(max_bytes=MAX_BYTES)
    buffer = bytearray()
    parts = []
    for piece in pieces:
        buffer += piece
        parts.append(decode_chunks(decoder, buffer, max_chunks))
    return decoder, buffer, parts


@when("a body of {size:d} bytes in chunks of {chunk:d} arrives in pieces of {piece:d}")
def decode_pieces(context, size, chunk, piece):
    context.body = bytes(number % 251 for number in range(size))
    sent = write_chunks(context.body, chunk) + LAST + NEXT_REQUEST
    pieces = [sent[start : start + piece] for start in range(0, len(sent), piece)]
    context.decoder, context.buffer, context.parts = decode_all(pieces)


@then("the decoded body is the one that was sent")
def check_body(context):
    assert context.decoder.is_complete
    assert b"".join(context.parts) == context.body


@then("what follows it stays in the buffer")
def check_rest(context):
    assert context.buffer == NEXT_REQUEST, context.buffer


@when("{count:d} chunks of 1 byte are decoded in steps of {step:d} chunks")
def decode_steps(context, count, step):
    pieces = [write_chunks(b"a" * count, 1), b"", b"", b""]
    _, _, context.parts = decode_all(pieces, step)


@then("the steps have decoded 30, 30, 30 and 10 bytes")
def check_steps(context):
    assert [len(part) for part in context.parts] == [30, 30, 30, 10], context.parts


@when("a body that is {what} is decoded")
def decode_invalid(context, what):
    try:
        decoder, _, _ = decode_all([BODIES[what]])
        context.verdict = "decoded" if decoder.is_complete else "incomplete"
    except BadChunkError:
        context.verdict = "not valid"
    except ChunksTooLargeError:
        context.verdict = "too large"


@then("it is {verdict}")
def check_verdict(context, verdict):
    assert context.verdict == verdict, context.verdict
