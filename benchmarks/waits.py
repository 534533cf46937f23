"""Measures the longest time that a class waited without any progress."""

from collections import defaultdict
from collections.abc import Mapping, Sequence

from benchmarks.callers import RequestRecord


def measure_longest_waits_s(
    records: Sequence[RequestRecord], data_centres: Mapping[int, str]
) -> dict[str, float]:
    """Measure for each class the longest wait without a first token.

    Only streaming requests are measured, since only they show when the first token
    arrived. The requests of a class in one data centre wait in one queue.

    :param records: The requests as their callers saw them.
    :param data_centres: The data centre of each request, by the request's number.
    :returns: The longest wait over all data centres, in seconds, by class.
    """
    groups = defaultdict(list)
    for record in records:
        if record.is_stream:
            groups[record.service_class, data_centres[record.number]].append(record)
    longest_s = defaultdict(float)
    for (name, _), group in groups.items():
        longest_s[name] = max(longest_s[name], find_longest_wait_s(group))
    return dict(longest_s)


def find_longest_wait_s(records: Sequence[RequestRecord]) -> float:
    """Measure the longest time in which requests waited and none got a first token.

    :param records: The streaming requests of one queue.
    :returns: The time in seconds.
    """
    waits = [(each.at_s, _find_wait_end_s(each)) for each in records]
    first_token_times_s = sorted(
        each.at_s + each.first_token_s
        for each in records
        if each.first_token_s is not None
    )
    last_s = max((end_s for _, end_s in waits), default=0.0)
    longest_s = 0.0
    before_s = 0.0
    for after_s in [*first_token_times_s, last_s]:
        begins_s = [begin for begin, end in waits if begin < after_s and end > before_s]
        if begins_s:
            waited_s = after_s - max(before_s, min(begins_s))
            longest_s = max(longest_s, waited_s)
        before_s = after_s
    return longest_s


def _find_wait_end_s(record):
    if record.first_token_s is not None:
        return record.at_s + record.first_token_s
    return record.at_s + record.total_s
