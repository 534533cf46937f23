import http.client
import select
import socket
import threading
import time

from behave import given, then, when

from features.path.steps.path_steps import (
    CHAT_PATH,
    make_body,
    send,
    start_path_daemon,
)
from features.path_records import APPLICATION_KEY
from features.programs import wait_until

SMUGGLED_REQUEST = (
    f"POST {CHAT_PATH} HTTP/1.1\r\nHost: a\r\n"
    f"Authorization: Bearer {APPLICATION_KEY}\r\n"
    "Content-Length: 2\r\n\r\n{}"
)
BYTE_INTERVAL_S = 0.1
ANSWER_TIMEOUT_S = 20


def connect(context):
    address = ("127.0.0.1", context.daemon.callers_port)
    return socket.create_connection(address, timeout=ANSWER_TIMEOUT_S)


@given(
    "a daemon that allows a caller {head_s:d} s for a head and {body_s:d} s for a body"
)
def give_daemon_with_timeouts(context, head_s, body_s):
    bounds = {"header_timeout_s": float(head_s), "body_timeout_s": float(body_s)}
    start_path_daemon(context, bounds)


@given("a daemon that accepts at most {count:d} connections")
def give_daemon_with_connection_limit(context, count):
    start_path_daemon(context, {"max_connections": count})


@when("a request whose body contains another request is sent with each of these heads")
def send_smuggled_requests(context):
    context.replies = {}
    for row in context.table:
        lines = row["head"].replace("<LF>", "\n").replace(" / ", "\r\n")
        head = (
            f"POST {CHAT_PATH} HTTP/1.1\r\nHost: a\r\n"
            f"Authorization: Bearer {APPLICATION_KEY}"
        )
        with connect(context) as connection:
            connection.sendall(
                f"{head}\r\n{lines}\r\n\r\n0\r\n\r\n{SMUGGLED_REQUEST}".encode()
            )
            context.replies[row["head"]] = receive_all(connection)


def receive_all(connection):
    received = b""
    try:
        while part := connection.recv(65536):
            received += part
    except ConnectionResetError:
        pass
    return received


@then(
    "each request receives one response with status 400, and its connection is closed"
)
def check_refused(context):
    for head, reply in context.replies.items():
        assert reply.startswith(b"HTTP/1.1 400 "), (head, reply)
        assert reply.count(b"HTTP/1.1") == 1, (head, reply)


@when(
    "{heads:d} callers send a head and {bodies:d} callers send a body, one byte at a time"
)
def send_slowly(context, heads, bodies):
    context.slow_connections = [connect(context) for _ in range(heads + bodies)]
    for connection in context.slow_connections:
        context.add_cleanup(connection.close)
    first_part = f"POST {CHAT_PATH} HTTP/1.1\r\nHost: a\r\n".encode()
    second_part = (
        f"Authorization: Bearer {APPLICATION_KEY}\r\nContent-Length: 1000\r\n\r\n"
    ).encode()
    for connection in context.slow_connections:
        connection.sendall(first_part)
    for connection in context.slow_connections[heads:]:
        connection.sendall(second_part)
    context.slow_started_s = time.monotonic()
    context.slow_stopped = threading.Event()
    sender = threading.Thread(
        target=send_single_bytes, args=(context.slow_connections, context.slow_stopped)
    )
    sender.start()
    context.add_cleanup(sender.join)
    context.add_cleanup(context.slow_stopped.set)


def send_single_bytes(connections, ended):
    while not ended.wait(BYTE_INTERVAL_S):
        for connection in connections:
            try:
                connection.send(b"x")
            except OSError:
                continue


@then("a request of another caller succeeds")
def check_other_caller(context):
    send(context, body=make_body())
    assert context.response.status == http.client.OK, context.body


@then("each slow caller receives status 408 within {bound_s:d} s")
def check_slow(context, bound_s):
    for connection in context.slow_connections:
        remaining_s = context.slow_started_s + bound_s - time.monotonic()
        connection.settimeout(max(0.1, remaining_s))
        reply = connection.recv(65536)
        assert reply.startswith(b"HTTP/1.1 408 "), reply
    context.slow_stopped.set()


@when("{count:d} connections are opened and stay idle")
def open_idle(context, count):
    context.idle_connections = getattr(context, "idle_connections", [])
    for _ in range(count):
        connection = connect(context)
        context.add_cleanup(connection.close)
        context.idle_connections.append(connection)


@then("the daemon closes at least {count:d} connections")
def check_closed(context, count):
    wait_until(lambda: count_closed(context.idle_connections) >= count)


def count_closed(connections):
    poll = select.poll()
    for connection in connections:
        poll.register(connection, select.POLLIN | select.POLLHUP)
    return len(poll.poll(0))


@when("the idle connections are closed")
def close_idle(context):
    for connection in context.idle_connections:
        connection.close()


@when("a client requests a chat completion in another team's name")
def request_as_other_team(context):
    headers = {"X-Team": "clerks", "X-Jujubenotch-Team": "clerks"}
    send(context, body=make_body(team="clerks", user="clerks"), headers=headers)


@then("the request runs for the team that owns the key")
def check_team(context):
    assert context.response.status == http.client.OK, context.body
    wait_until(lambda: "request-ended" in context.daemon.log.read_text())
    log = context.daemon.log.read_text()
    assert "team=agents" in log, log
    assert "team=clerks" not in log, log
