import asyncio
from unittest import mock

from behave import given, then, when

from jujubenotch.peers import (
    OutgoingLink,
    PeerLostError,
    run_outgoing_link,
)


@given("a link whose session fails in the event-loop iteration of its cancellation")
def make_failing_link(context):
    async def fail_when_cancelled(link, link_context):
        async def fail():
            try:
                await asyncio.sleep(60)
            finally:
                raise PeerLostError("the peer has ended the session")

        async with asyncio.TaskGroup() as tasks:
            tasks.create_task(fail())

    context.run_session = fail_when_cancelled


@when("the link is cancelled")
def cancel_link(context):
    async def cancel():
        link = OutgoingLink(name="b", host="127.0.0.1", port=1)
        task = asyncio.create_task(run_outgoing_link(link, mock.Mock()))
        await asyncio.sleep(0.01)
        task.cancel()
        done, _ = await asyncio.wait({task}, timeout=3.0)
        task.cancel()
        return done

    with mock.patch("jujubenotch.peers.link._run_session", context.run_session):
        context.done = asyncio.run(cancel())


@then("the link has ended")
def check_link_ended(context):
    (task,) = context.done
    assert task.cancelled()


@given("a link whose first session fails")
def make_link_that_fails_once(context):
    context.sessions = []

    async def fail_first(link, link_context):
        async def fail():
            raise PeerLostError("the peer has ended the session")

        context.sessions.append(link)
        if len(context.sessions) > 1:
            await asyncio.sleep(60)
        async with asyncio.TaskGroup() as tasks:
            tasks.create_task(fail())

    context.run_session = fail_first


@when("the link's back-off has passed")
def wait_for_backoff(context):
    async def run_twice():
        link = OutgoingLink(name="b", host="127.0.0.1", port=1)
        task = asyncio.create_task(run_outgoing_link(link, mock.Mock()))
        async with asyncio.timeout(5.0):
            while len(context.sessions) < 2 and not task.done():
                await asyncio.sleep(0.01)
        task.cancel()
        await asyncio.wait({task}, timeout=3.0)

    with mock.patch("jujubenotch.peers.link._run_session", context.run_session):
        asyncio.run(run_twice())


@then("the link has started a second session")
def check_second_session(context):
    assert len(context.sessions) == 2, context.sessions
