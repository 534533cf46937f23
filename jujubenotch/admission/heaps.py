"""Heaps and stacks of queued requests that drop the dead ones as they go.

A request stands in several containers at once. Taking it out of all of them
would cost a search in each; it is marked as dead instead, and a container
drops dead entries when they reach its top or outnumber the living ones.
"""

import heapq

SMALL_SIZE = 32


class LazyHeap:
    """Requests in the order of a key, smallest first.

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

        :param key: Its place; equal keys keep the order of their sequence.
        :param queued: The request.
        """
        heapq.heappush(self._entries, (key, queued.sequence, queued))

    def peek(self):
        """Return the first living request, or ``None``."""
        entries = self._entries
        while entries and not entries[0][2].is_live:
            heapq.heappop(entries)
            self._dead -= 1
        return entries[0][2] if entries else None

    def find_first(self, accepts, looks: int):
        """Find the first living request that is accepted.

        :param accepts: Takes a request and tells whether it will do.
        :param looks: How many requests to look at, at most.
        :returns: The request, or ``None``.
        """
        passed = []
        found = None
        while found is None and len(passed) < looks and self.peek() is not None:
            if accepts(self.peek()):
                found = self.peek()
            else:
                passed.append(heapq.heappop(self._entries))
        for entry in passed:
            heapq.heappush(self._entries, entry)
        return found

    def note_dead(self) -> None:
        """Count a request of this heap that was just marked as dead."""
        self._dead += 1
        if self._dead > SMALL_SIZE and self._dead * 2 > len(self._entries):
            self._entries = [entry for entry in self._entries if entry[2].is_live]
            heapq.heapify(self._entries)
            self._dead = 0


class LazyStack:
    """Requests in the order of their arrival, newest first.

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

        :param queued: The request.
        """
        self._entries.append(queued)

    def peek(self):
        """Return the newest living request, or ``None``."""
        entries = self._entries
        while entries and not entries[-1].is_live:
            entries.pop()
            self._dead -= 1
        return entries[-1] if entries else None

    def note_dead(self) -> None:
        """Count a request of this stack that was just marked as dead."""
        self._dead += 1
        if self._dead > SMALL_SIZE and self._dead * 2 > len(self._entries):
            self._entries = [queued for queued in self._entries if queued.is_live]
            self._dead = 0
