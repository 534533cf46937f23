import socket
import threading

from behave import given, then

from features.crowds.crowd import write_head
from features.crowds.steps.crowds_steps import respond
from features.platform.upstream_kinds import write_stream

WAIT_S = 60.0


@given("a caller that reads a stream of {count:d} events")
def read_stream(context, count):
    context.upstream.make_parts = lambda head: (
        write_stream(head, 1, count, is_whole=True)
        if head.split(b" ")[1] == b"/resume/x"
        else respond(head)
    )
    head, _ = write_head("/resume/x", "Content-Length: 2")
    connection = socket.create_connection((context.site.host, 8000), timeout=WAIT_S)
    context.stack.callback(connection.close)
    connection.sendall(head + b"{}")
    received = context.received = bytearray(connection.recv(65536))
    assert b"200 OK" in received, received

    def read():
        while b"0\r\n\r\n" not in received:
            data = connection.recv(65536)
            if not data:
                return
            received.extend(data)

    context.reader = threading.Thread(target=read)
    context.reader.start()


@then("the stream comes to its end")
def check_end_of_stream(context):
    context.reader.join()
    assert context.received.endswith(b"\r\n0\r\n\r\n"), context.received[-200:]
