"""Plays drawn histories of the list of upstreams against a model of the store."""

from dataclasses import dataclass, field

from behave import then
from hypothesis import given as given_examples
from hypothesis import settings
from hypothesis import strategies as st

from jujubenotch.forwarding import (
    Item,
    ListedUpstream,
    UpstreamListing,
    apply_items,
    find_usable,
)

SERVICE = "drafting"
STEP_S = 0.5
# The store removes the entry of a dead upstream after three missed heartbeats.
EXPIRY_S = 3.6
# After a restore the upstreams write their entries again within this time.
REWRITE_S = 1.0
NAMES = ("a", "b", "c")
STEPS = st.lists(
    st.one_of(
        st.tuples(
            st.sampled_from(("start", "drain", "end", "die")), st.sampled_from(NAMES)
        ),
        st.tuples(
            st.sampled_from(("copy", "restore", "read", "read", "wait")), st.none()
        ),
    ),
    min_size=15,
    max_size=40,
)


@dataclass(kw_only=True)
class Worker:
    """A running upstream."""

    started_ms: int
    is_leaving: bool = False


@dataclass(kw_only=True)
class History:
    """The running upstreams, the store's rows, and the instance that reads them.

    Rows are ``{name: (revision, item)}``; ``gone`` holds the processes that the
    instance saw leaving or gone, ``dead`` the entries that the store will remove.
    """

    now_s: float = 100.0
    workers: dict = field(default_factory=dict)
    rows: dict = field(default_factory=dict)
    revision: int = 0
    era: int = 0
    copy: tuple | None = None
    dead: dict = field(default_factory=dict)
    listing: UpstreamListing = field(default_factory=UpstreamListing)
    read_revision: int | None = None
    read_era: int = 0
    gone: set = field(default_factory=set)
    starts: int = 0
    rewrite_s: float | None = None

    def write(self, name):
        worker = self.workers[name]
        self.revision += 1
        listed = ListedUpstream(
            name=name,
            service=SERVICE,
            address="127.0.0.1:1",
            data_centre="north",
            slots=4,
            is_leaving=worker.is_leaving,
            started_ms=worker.started_ms,
        )
        self.rows[name] = Item(key=name, value=listed, revision=self.revision)
        self.dead.pop(name, None)

    def remove(self, name):
        self.revision += 1
        self.rows[name] = Item(
            key=name, value=None, is_removed=True, revision=self.revision
        )
        self.dead.pop(name, None)

    def play(self, step, name):
        self.now_s += STEP_S
        self._expire()
        getattr(self, f"play_{step}")(name)

    def play_start(self, name):
        if name not in self.workers:
            self.starts += 1
            self.workers[name] = Worker(started_ms=self.starts)
            self.write(name)

    def play_drain(self, name):
        if name in self.workers:
            self.workers[name].is_leaving = True
            self.write(name)

    def play_end(self, name):
        if self.workers.pop(name, None) is not None:
            self.remove(name)

    def play_die(self, name):
        if self.workers.pop(name, None) is not None:
            self.dead[name] = self.now_s + EXPIRY_S

    def play_copy(self, name):
        self.copy = (dict(self.rows), self.revision)

    def play_restore(self, name):
        if self.copy is None:
            return
        self.rows, self.revision = dict(self.copy[0]), self.copy[1]
        self.era += 1
        self.dead = {
            name: self.now_s + EXPIRY_S
            for name, item in self.rows.items()
            if item.value is not None and not self._is_running(item.value)
        }
        self.rewrite_s = self.now_s + REWRITE_S

    def play_wait(self, name):
        self.now_s += 2.0

    def play_read(self, name):
        self._expire()
        is_new = self.read_revision is None
        starts_era = not is_new and self.read_era != self.era
        is_snapshot = is_new or starts_era
        before = set(self.listing.upstreams)
        items = tuple(
            item
            for item in self.rows.values()
            if (is_snapshot and item.value is not None)
            or (not is_snapshot and item.revision > self.read_revision)
        )
        apply_items(
            self.listing,
            items,
            is_snapshot=is_snapshot,
            follows_outage=starts_era,
            now_s=self.now_s,
            copied_revision=self.revision if starts_era else None,
        )
        self._note_gone(items, before, is_feed=not is_snapshot)
        self.read_revision, self.read_era = self.revision, self.era
        self.check()

    def check(self):
        for listed in find_usable(self.listing, SERVICE, self.now_s):
            assert (listed.name, listed.started_ms) not in self.gone, (listed, self)

    def find_used(self):
        usable = find_usable(self.listing, SERVICE, self.now_s)
        return {(each.name, each.started_ms) for each in usable}

    def _is_running(self, listed):
        worker = self.workers.get(listed.name)
        return worker is not None and worker.started_ms == listed.started_ms

    def _expire(self):
        if self.rewrite_s is not None and self.rewrite_s <= self.now_s:
            self.rewrite_s = None
            for name in self.workers:
                self.write(name)
        for name, expires_s in list(self.dead.items()):
            if expires_s <= self.now_s:
                self.remove(name)

    def _note_gone(self, items, before, *, is_feed):
        for item in items:
            if item.value is not None and item.value.is_leaving:
                self.gone.add((item.key, item.value.started_ms))
        running = {(n, worker.started_ms) for n, worker in self.workers.items()}
        for number in range(1, self.starts + 1):
            for name in NAMES:
                is_known = name in before
                left = is_feed and is_known and name not in self.listing.upstreams
                if left and (name, number) not in running:
                    self.gone.add((name, number))


def play_histories(check_end):
    @settings(derandomize=True, database=None, max_examples=800, deadline=None)
    @given_examples(STEPS)
    def play(steps):
        history = History()
        history.play_read(None)
        for step, name in steps:
            history.play(step, name)
        check_end(history)

    play()


@then("for random histories no upstream that was seen leaving or gone is used again")
def check_no_return(context):
    play_histories(lambda history: history.play_read(None))


@then("for random histories the upstreams in use are at last those that run")
def check_last(context):
    def check(history):
        history.play_read(None)
        for _ in range(16):
            history.play("read", None)
        running = {
            (name, worker.started_ms)
            for name, worker in history.workers.items()
            if not worker.is_leaving
        }
        assert history.find_used() == running, history

    play_histories(check)
