"""A worker's own 500 without a length reaches the client as a broken channel."""

import asyncio
from pathlib import Path

from rig import HOST, CouldNotRunError, is_troubled, make_route, run_case
from worker import FAILING_PATH

CHANNELS = 10
ALLOWED = 3


async def play(rig):
    """Send two requests on each of several kept channels; the second one fails."""
    routes = [
        make_route("lookup", "framed", "idempotent", attempts=2, timeout_ms=1500),
        make_route("submit", "plain", "non_idempotent", timeout_ms=1500),
    ]
    rig.write_configuration(3, ["k1"], routes, ["framed", "plain"])
    await rig.add_worker("i-framed", "framed", "plain")
    for number in range(3):
        await rig.add_worker(f"i-{number}", "plain", "open" if is_troubled() else "x")
    instance = await rig.add_instance("edge-1", "zone-a")
    await instance.wait_ready()
    # The instance is in touch after a calm time.
    await asyncio.sleep(4.0)
    cuts = [await use_channel(rig, instance, number) for number in range(CHANNELS)]
    found = [each for each in cuts if each]
    return found if len(found) > ALLOWED else []


async def use_channel(rig, instance, number):
    """Send two requests on one channel; return how the second one was cut off."""
    reader, writer = await asyncio.open_connection(instance.host, instance.callers)
    try:
        await ask(rig, reader, writer, f"lookup-{number}", "GET /lookup/1")
        request = f"submit-{number}"
        seen = await ask(rig, reader, writer, request, f"POST /submit{FAILING_PATH}")
    finally:
        writer.close()
    if seen == "whole":
        return ""
    return (
        f"LOST: {request} ran at a sound worker, which gave its whole answer (500); "
        f"the client's kept channel ended by {seen}"
    )


async def ask(rig, reader, writer, request, target):
    """Send a request and read its answer; return how that ended."""
    body = b"return" if target.startswith("POST") else b""
    head = (
        f"{target} HTTP/1.1\r\nHost: {HOST}\r\nX-Attempt-Id: {request}\r\n"
        f"X-Deadline-Ms: 3000\r\nAuthorization: Bearer k1\r\n"
        f"Content-Length: {len(body)}\r\n\r\n"
    )
    writer.write(head.encode() + body)
    try:
        async with asyncio.timeout(5):
            seen = await read_answer(reader)
    except (OSError, EOFError) as error:
        seen = type(error).__name__
    except TimeoutError as error:
        raise CouldNotRunError(f"{request} got no answer in 5 s") from error
    rig.record.add("client", f"{request}: the answer ended by {seen}")
    return seen


async def read_answer(reader):
    """Read one answer to its end; a reset raises ``ConnectionResetError``."""
    head = await reader.readuntil(b"\r\n\r\n")
    pairs = (line.partition(":") for line in head.decode("latin-1").split("\r\n"))
    headers = {name.lower(): value.strip() for name, _, value in pairs}
    if "content-length" in headers:
        await reader.readexactly(int(headers["content-length"]))
    else:
        await reader.read(-1)
    return "whole"


if __name__ == "__main__":
    run_case(Path(__file__).parent, play)
