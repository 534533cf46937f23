"""Heaps and stacks of queued requests with lazy deletion.

A request is in several containers at once. Removing the request from all of
them would need a search in each, so the request is marked as dead instead. A
container drops dead entries when they reach its top or outnumber the live ones.
"""

import heapq

MIN_DEAD_TO_REBUILD = 32


class LazyHeap:
    """A heap of requests in the order of a key, smallest first.

    >>> heap = LazyHeap()
    >>> heap.push(3.0, queued)
    >>> heap.peek() is queued
    True
    """

    __slots__ = ("_dead", "_entries")

    def __init__(self):
        self._entries = []
        self._dead = 0

    def __len__(self):
        return len(self._entries) - self._dead

    def push(self, key: float, queued) -> None:
        """Add a request.

        :param key: The sort key; requests with equal keys are ordered by their
            sequence number.
        :param queued: The request's queue entry.
        """
        heapq.heappush(self._entries, (key, queued.sequence, queued))

    def peek(self):
        """Return the first live request, or ``None`` if there is none."""
        entries = self._entries
        while entries and not entries[0][2].is_live:
            heapq.heappop(entries)
            self._dead -= 1
        return entries[0][2] if entries else None

    def find_first(self, accepts, max_examined: int):
        """Find the first live request that satisfies a predicate.

        :param accepts: The predicate, called with a request's queue entry.
        :param max_examined: The largest number of requests to examine.
        :returns: The request's queue entry, or ``None`` if none of those
            examined satisfies the predicate.
        """
        skipped = []
        found = None
        while found is None and len(skipped) < max_examined and self.peek() is not None:
            if accepts(self.peek()):
                found = self.peek()
            else:
                skipped.append(heapq.heappop(self._entries))
        for entry in skipped:
            heapq.heappush(self._entries, entry)
        return found

    def count_dead(self) -> None:
        """Count one more dead request; drop all dead ones if there are many.

        Called after a request of this heap was marked as dead.
        """
        self._dead += 1
        if self._dead > MIN_DEAD_TO_REBUILD and self._dead * 2 > len(self._entries):
            self._entries = [entry for entry in self._entries if entry[2].is_live]
            heapq.heapify(self._entries)
            self._dead = 0


class LazyStack:
    """A stack of requests in the order of arrival, newest first.

    >>> stack = LazyStack()
    >>> stack.push(queued)
    >>> stack.peek() is queued
    True
    """

    __slots__ = ("_dead", "_entries")

    def __init__(self):
        self._entries = []
        self._dead = 0

    def __len__(self):
        return len(self._entries) - self._dead

    def push(self, queued) -> None:
        """Add a request.

        :param queued: The request's queue entry.
        """
        self._entries.append(queued)

    def peek(self):
        """Return the newest live request, or ``None`` if there is none."""
        entries = self._entries
        while entries and not entries[-1].is_live:
            entries.pop()
            self._dead -= 1
        return entries[-1] if entries else None

    def count_dead(self) -> None:
        """Count one more dead request; drop all dead ones if there are many.

        Called after a request of this stack was marked as dead.
        """
        self._dead += 1
        if self._dead > MIN_DEAD_TO_REBUILD and self._dead * 2 > len(self._entries):
            self._entries = [queued for queued in self._entries if queued.is_live]
            self._dead = 0
