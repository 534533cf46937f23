import asyncio

from behave import given, then, when

from jujubenotch.forwarding import (
    Following,
    Item,
    Page,
    choose_change_wait_s,
    follow_source,
)


class ChangingSource:
    """A source whose items change one after the other."""

    def __init__(self):
        self.calls = 0
        self.revision = 1
        self.changed = asyncio.Event()

    async def read_all(self):
        self.calls += 1
        return Page(items=(), revision=self.revision, answered_store_s=0.0)

    async def read_changes(self, after_revision, wait_s):
        self.calls += 1
        while self.revision <= after_revision:
            await self.changed.wait()
        items = tuple(
            Item(key=str(number), value=number)
            for number in range(after_revision + 1, self.revision + 1)
        )
        return Page(items=items, revision=self.revision, answered_store_s=0.0)

    def change(self):
        self.revision += 1
        self.changed.set()
        self.changed = asyncio.Event()


@given("keys that may work for {max_age_s:g} s after they were taken away")
def make_bound(context, max_age_s):
    context.max_age_s = max_age_s


@given("a source with {count:d} changes within {seconds:g} s")
def make_changes(context, count, seconds):
    context.count = count
    context.pause_s = seconds / count


@when(
    "it is followed for {seconds:g} s with {settle_s:g} s for changes to come together"
)
def follow(context, seconds, settle_s):
    context.taken = set()

    async def run():
        context.source = ChangingSource()
        task = asyncio.create_task(
            follow_source(
                Following(name="list"),
                context.source,
                lambda update: context.taken.update(i.key for i in update.page.items),
                settle_s=settle_s,
            )
        )
        for _ in range(context.count):
            await asyncio.sleep(context.pause_s)
            context.source.change()
        await asyncio.sleep(seconds)
        task.cancel()

    asyncio.run(run())


@then("a site of {upstreams:d} upstreams waits {wait_s:g} s for changes")
def check_wait(context, upstreams, wait_s):
    found = choose_change_wait_s(context.max_age_s, upstreams)
    assert abs(found - wait_s) < 1e-9, found


@then("at most {count:d} calls were made")
def check_calls(context, count):
    assert context.source.calls <= count, context.source.calls


@then("all changes were taken in")
def check_taken(context):
    assert len(context.taken) == context.count, context.taken
