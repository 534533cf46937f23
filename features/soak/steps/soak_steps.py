import asyncio
import os
import tempfile
from pathlib import Path

from behave import then, when

from benchmarks.soak import run_soak

PROCESSES = Path("/proc")


@when("the randomised run of seed {seed:d} sends requests for {duration_s:d} s")
def run(context, seed, duration_s):
    directory = tempfile.TemporaryDirectory()
    context.add_cleanup(directory.cleanup)
    context.journals = asyncio.run(
        run_soak(
            seed=seed, duration_s=float(duration_s), directory=Path(directory.name)
        )
    )


@then(
    "more than {requests:d} requests were answered "
    "and at least {faults:d} faults injected"
)
def check_counts(context, requests, faults):
    completed = [each for each in context.journals.told if each.outcome == "completed"]
    assert len(completed) > requests, len(completed)
    assert len(context.journals.faults) >= faults, len(context.journals.faults)


@then("none of the run's processes is left running")
def check_none_left(context):
    task = PROCESSES / str(os.getpid()) / "task" / str(os.getpid()) / "children"
    assert not task.read_text().split(), task.read_text()
