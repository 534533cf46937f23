from behave import then, when

from features.platform.site import read_events, read_log, send, wait_until_logged
from jujubenotch.crashes import digest_part


def write_prompt(parts):
    return ",".join(f"{part}:100" for part in parts.split(","))


@when('a caller requests a stream with the prompt parts "{parts}"')
def request_stream_with_parts(context, parts):
    prompt = write_prompt(parts)
    context.replies = [
        send(
            context.site,
            "/stream/x",
            method="POST",
            body=b"{}",
            X_Prompt_Prefix=prompt,
            X_Token_Count="300,20",
        )
    ]
    wait_until_logged(context.site, "response-broken-off")


@then('the program logged "response-broken-off" with the digests of "{parts}"')
def check_digests(context, parts):
    lines = read_events(context.site, "response-broken-off")
    expected = [digest_part(part) for part in parts.split(",")]
    assert [line["parts"] for line in lines] == [expected], lines


@then('the program logged "response-broken-off" with the time since the response began')
def check_begun(context):
    line = read_events(context.site, "response-broken-off")[0]
    assert 0 < line["begun_s"] <= line["sent_s"] < 2, line


@then('the log contains none of the parts "{parts}"')
def check_no_contents(context, parts):
    log = read_log(context.site)
    assert not any(part in log for part in parts.split(",")), log


@when('a caller sends the bodies "{bodies}" in turn')
def send_bodies(context, bodies):
    for body in bodies.split(","):
        send(context.site, "/send/x", method="POST", body=body.encode())


@then('the digests of the requests in the "response-broken-off" lines are "{numbers}"')
def check_request_digests(context, numbers):
    wait_until_logged(context.site, "response-broken-off")
    digests = [
        line["request"] for line in read_events(context.site, "response-broken-off")
    ]
    order = list(dict.fromkeys(digests))
    assert [str(order.index(each) + 1) for each in digests] == numbers.split(",")
