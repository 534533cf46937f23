from behave import given, then, when

from jujubenotch.traces import (
    TracesError,
    decode_trace,
    encode_trace,
    make_traces,
    read_trace,
    record_event,
)


@given("a buffer for the traces of {requests:d} requests with {events:d} events each")
def make_buffer(context, requests, events):
    context.traces = make_traces(max_requests=requests, max_events=events)


@when('request "{request_id}" has the events "{events}" one second apart')
def record_events(context, request_id, events):
    for index, event in enumerate(events.split(", ")):
        record_event(context.traces, request_id, event, 100.0 + index, reason="why")


@when('request "{request_id}" has an event with the prompt "{prompt}"')
def record_prompt(context, request_id, prompt):
    record_event(context.traces, request_id, "queued", 1.0, prompt=prompt)


@then('the trace of "{request_id}" is "{expected}"')
def check_trace(context, request_id, expected):
    trace = read_trace(context.traces, request_id)
    actual = ", ".join(f"{event.event}@{event.after_s}" for event in trace.events)
    assert actual == expected, actual
    assert all(event.fields == {"reason": "why"} for event in trace.events), trace


@then('there is no trace of "{request_id}"')
def check_absent(context, request_id):
    assert read_trace(context.traces, request_id) is None


@then('{count:d} event of "{request_id}" was dropped')
def check_dropped(context, count, request_id):
    assert read_trace(context.traces, request_id).dropped_events == count


@then('the trace of "{request_id}" does not contain "{text}"')
def check_hidden(context, request_id, text):
    content = encode_trace(read_trace(context.traces, request_id))
    assert text.encode() not in content, content


@then('the trace of "{request_id}" is the same after encoding and decoding')
def check_codec(context, request_id):
    trace = read_trace(context.traces, request_id)
    assert decode_trace(encode_trace(trace)) == trace


@when("the bytes {content} are decoded as a trace")
def decode_bytes(context, content):
    context.error = None
    try:
        decode_trace(content.encode())
    except Exception as error:
        context.error = error


@then("decoding fails with an error of the traces layer")
def check_error(context):
    assert isinstance(context.error, TracesError), context.error
