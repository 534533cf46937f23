"""Requests whose content crashes upstreams, and the rule about them."""

import asyncio
import time
from collections import defaultdict
from collections.abc import Callable

from benchmarks.site.model import ContentCrash, SiteFault, SiteJournal
from benchmarks.site.upstreams import BAD_MARK

CONTACT_S = 3.0
MAX_LATE = 3
# After so many crashes a content must be known to all instances in contact.
CRASHES_UNTIL_KNOWN = {SiteFault.BAD_PART: 5, SiteFault.BAD_REQUEST: 3}
SENDING_S = 8.0


async def send_bad_content(site, event) -> None:
    """Let callers send a content that crashes upstreams for some time.

    :param site: The site.
    :param event: The planned fault.
    """
    content = f"{BAD_MARK}{site.generator.getrandbits(32):08x}"
    if event.kind is SiteFault.BAD_REQUEST:
        content = f"/read/{content}"
    site.callers.bad_content[event.kind] = content
    await asyncio.sleep(event.duration_s + SENDING_S)
    if site.callers.bad_content.get(event.kind) == content:
        del site.callers.bad_content[event.kind]


def make_crash(upstream: str, content: str) -> ContentCrash:
    """Make the record of an upstream's end by the content of a request.

    :param upstream: The upstream's name.
    :param content: The content: a path or a prompt part.
    """
    is_request = content.startswith("/")
    return ContentCrash(
        kind=SiteFault.BAD_REQUEST if is_request else SiteFault.BAD_PART,
        content=content,
        upstream=upstream,
        at_s=time.monotonic(),
    )


def check_bad_contents(
    journal: SiteJournal, is_in_contact: Callable[[SiteJournal, str, float], bool]
) -> list[str]:
    """A content that crashes upstreams is hardly sent once it must be known.

    :param journal: The journal.
    :param is_in_contact: Tells whether an instance was in contact at a time.
    """
    crashes = defaultdict(list)
    for crash in sorted(journal.content_crashes, key=lambda each: each.at_s):
        crashes[crash.content].append(crash)
    violations = []
    for content, known in crashes.items():
        needed = CRASHES_UNTIL_KNOWN[known[0].kind]
        if len(known) < needed:
            continue
        bound_s = known[needed - 1].at_s + CONTACT_S
        late = [
            arrival
            for arrival in journal.arrivals
            if arrival.bad_content == content
            and arrival.at_s > bound_s
            and is_in_contact(journal, arrival.instance, arrival.at_s)
        ]
        if len(late) > MAX_LATE:
            violations.append(
                f"{content} reached upstreams {len(late)} times later than "
                f"{CONTACT_S:g} s after its crash number {needed}; it had "
                f"{len(known)} crashes"
            )
    return violations
