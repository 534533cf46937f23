"""Request bodies, the timeout and helpers that the steps of this directory share."""

import asyncio
import tempfile
from pathlib import Path

TIMEOUT_S = 20
COMPLETION = {"model": "m", "prompt": "hello", "max_tokens": 80}
LONG_STREAM = {"model": "m", "prompt": "long", "max_tokens": 40000, "stream": True}


def make_journal(context):
    directory = tempfile.TemporaryDirectory()
    context.add_cleanup(directory.cleanup)
    context.journal = str(Path(directory.name) / "journal.jsonl")


def run_coroutine(coroutine):
    return asyncio.run(asyncio.wait_for(coroutine, TIMEOUT_S))
