import asyncio

from behave import given, then, when

from jujubenotch.forwarding import (
    FollowProgress,
    HistoryLostError,
    Item,
    Page,
    SourceError,
    choose_change_wait_s,
    choose_list_delay_s,
    double_pause_s,
    follow_source,
)


class ChangingSource:
    """A source that gets one new item with each change."""

    def __init__(self):
        self.calls = 0
        self.revision = 1
        self.changed = asyncio.Event()

    async def read_all(self, note_progress):
        self.calls += 1
        return Page(items=(), revision=self.revision, store_time_s=0.0)

    async def read_changes(self, after_revision, wait_s, note_progress):
        self.calls += 1
        while self.revision <= after_revision:
            await self.changed.wait()
        items = tuple(
            Item(key=str(number), value=number)
            for number in range(after_revision + 1, self.revision + 1)
        )
        return Page(items=items, revision=self.revision, store_time_s=0.0)

    def change(self):
        self.revision += 1
        self.changed.set()
        self.changed = asyncio.Event()


@given("revoked keys that may work for {max_age_s:g} s")
def set_max_key_age(context, max_age_s):
    context.max_age_s = max_age_s


@given("a source with {count:d} changes within {seconds:g} s")
def set_changes(context, count, seconds):
    context.count = count
    context.pause_s = seconds / count


@when("it is followed for {seconds:g} s with a delay of {settle_s:g} s after changes")
def follow(context, seconds, settle_s):
    context.applied = set()

    async def run():
        context.source = ChangingSource()
        task = asyncio.create_task(
            follow_source(
                FollowProgress(name="list"),
                context.source,
                lambda update: context.applied.update(i.key for i in update.page.items),
                choose_delay_s=lambda: settle_s,
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


@then("all changes were applied")
def check_applied(context):
    assert len(context.applied) == context.count, context.applied


class FailingSource(ChangingSource):
    """A source that can't be read until ``is_back`` is set."""

    is_back = False

    async def read_all(self, note_progress):
        if not self.is_back:
            self.calls += 1
            raise SourceError("the source can't be read")
        return await super().read_all(note_progress)


class NoHistorySource(ChangingSource):
    """A source that never holds the changes since a revision."""

    async def read_changes(self, after_revision, wait_s, note_progress):
        self.calls += 1
        raise HistoryLostError("the source holds no changes")


@given("a source whose history is lost at each call for changes")
def make_without_history(context):
    context.source = NoHistorySource()


@given("a source that can't be read")
def make_failing(context):
    context.source = FailingSource()


@when("it is followed for {seconds:g} s with pauses of at most {pause_s:g} s")
def follow_failing(context, seconds, pause_s):
    context.loop = asyncio.new_event_loop()
    context.add_cleanup(end_following, context)
    context.follow_progress = FollowProgress(name="list")

    async def run():
        work = follow_source(
            context.follow_progress,
            context.source,
            lambda update: None,
            choose_pause_s=lambda failures: double_pause_s(failures, pause_s),
        )
        context.task = asyncio.create_task(work)
        await asyncio.sleep(seconds)

    context.loop.run_until_complete(run())


def end_following(context):
    context.task.cancel()
    context.loop.run_until_complete(asyncio.wait([context.task]))
    context.loop.close()


@when("it can be read again and another source has recovered")
def recover_source(context):
    context.source.is_back = True
    context.follow_progress.retry_requested.set()


@then("it is followed again within {seconds:g} s")
def check_followed(context, seconds):
    context.loop.run_until_complete(asyncio.sleep(seconds))
    assert context.follow_progress.revision is not None


@then(
    "a site of {upstreams:d} upstreams delays the next call by {settle_s:g} s after changes of the list"
)
def check_settle(context, upstreams, settle_s):
    assert choose_list_delay_s(upstreams) == settle_s
