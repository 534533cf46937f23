from behave import given, then, when

from jujubenotch.upstreams import EventBuffer, read_last_id, take_complete_events

ENDS = {"lf": b"\n", "crlf": b"\r\n"}


def write_event(number, text, end):
    return b"id: %d%sdata: %s%s%s" % (number, end, text, end, end)


@given('a stream of {count:d} events with "{end}" line ends')
def make_stream(context, count, end):
    line_end = ENDS[end]
    events = [write_event(n, b'{"t": "w%d"}' % n, line_end) for n in range(count)]
    context.events = b"".join(events)
    context.stream = context.events + b"data: [DONE]" + line_end * 2


@given("a stream whose second event contains the end marker")
def make_quoting_stream(context):
    events = [write_event(0, b'{"t": "a"}', b"\n")]
    events.append(write_event(1, b'{"t": "data: [DONE]"}', b"\n"))
    context.events = b"".join(events)
    context.stream = context.events + b"data: [DONE]\n\n"


def forward(stream, size):
    buffer = EventBuffer()
    chunks = [stream[i : i + size] for i in range(0, len(stream), size)]
    forwarded = b"".join(take_complete_events(buffer, chunk) for chunk in chunks)
    return buffer, forwarded


@when("the stream arrives in chunks of every size")
def arrive_in_chunks(context):
    sizes = range(1, len(context.stream) + 1)
    context.arrivals = [forward(context.stream, size) for size in sizes]


@when("the stream arrives without its end marker")
def arrive_unended(context):
    context.arrivals = [forward(context.events, 7)]


@when("the first {size:d} bytes of the stream arrive")
def arrive_start(context, size):
    context.size = size
    context.arrivals = [forward(context.stream[:size], size)]


@then("the forwarded bytes are the events without the end marker")
def check_forwarded(context):
    for _, forwarded in context.arrivals:
        assert forwarded == context.events, forwarded


@then('the last id is "{identifier}"')
def check_last_id(context, identifier):
    for buffer, _ in context.arrivals:
        assert read_last_id(buffer) == identifier


@then("the stream is ended")
def check_ended(context):
    assert all(buffer.is_ended for buffer, _ in context.arrivals)


@then("the stream is not ended")
def check_not_ended(context):
    assert not any(buffer.is_ended for buffer, _ in context.arrivals)


@then("only complete events are forwarded")
def check_whole(context):
    ((_, forwarded),) = context.arrivals
    assert context.events.startswith(forwarded)
    assert forwarded.endswith(b"\n\n")
    assert len(forwarded) < context.size
