"""Runs a fleet under load and drawn faults, then checks what must always hold.

Usage:
    soak [options]

Options:
    --seed=N        Fixes the load and the faults [default: 1].
    --duration-s=S  How long requests are sent, at most 3600 [default: 60].
    --fleet=NAME    What runs: own, the daemon and its peers, or site, the
                    platform's program [default: own].
    --instances=N   How many instances a site has [default: 6].
    --kinds=NAMES   Draw only these kinds of faults, comma-separated.
    --output=DIR    Journals and logs [default: build/soak].

The exit code is 0 when every rule holds, 1 when one is broken, and 2 when the
fleet could not be run. Journals and logs of a run that held are removed.
"""

import asyncio
import shutil
import signal
import sys
import time
from collections.abc import Sequence
from dataclasses import asdict, dataclass
from pathlib import Path

import orjson
import uvloop
from docopt import docopt

from benchmarks.callers import RequestRecord, send_load
from benchmarks.control_rules import CONTROL_RULES
from benchmarks.fleet import Fleet, FleetError, run_fleet
from benchmarks.inject import Injection, inject_faults
from benchmarks.journals import (
    CallerRequest,
    Journals,
    read_commits,
    read_logs,
    read_upstream_journal,
    select_spans,
)
from benchmarks.processes import ProcessError
from benchmarks.records import make_application_key
from benchmarks.rules import REQUEST_RULES, Rule
from benchmarks.schedule import FaultEvent, FaultKind, plan_faults
from benchmarks.site.fleet import SiteError
from benchmarks.site.model import SiteFault, SiteJournal
from benchmarks.site.rules import SITE_RULES
from benchmarks.site.run import run_site_soak
from benchmarks.soak_plan import (
    make_deployment,
    make_fault_targets,
    make_fleet_plan,
    make_load,
)
from benchmarks.workload import PlannedRequest
from standins.answers import compute_call_digest, compute_request_digest
from standins.journal import read_journal

MAX_DURATION_S = 3600.0
TIMEOUT_MARGIN_S = 120.0
MAX_PROCESSES = 60
MAX_SITE_INSTANCES = 150
MAX_SHOWN_VIOLATIONS = 10
EXIT_BROKEN = 1
EXIT_FAILED = 2
EXIT_INTERRUPTED = 130
RUN_ERRORS = (FleetError, ProcessError, SiteError, TimeoutError, BaseExceptionGroup)


@dataclass(frozen=True, kw_only=True)
class Verdict:
    """The result of checking one rule.

    :param checked: The number of items that the rule was checked on.
    :param violations: One line for each violation.
    """

    rule: str
    checked: int
    violations: list[str]


def check_journals(
    journals: Journals | SiteJournal,
    rules: Sequence[Rule] = (*REQUEST_RULES, *CONTROL_RULES),
) -> list[Verdict]:
    """Check the journals of a run against rules.

    :param journals: The journals of a run.
    :param rules: The rules for the kind of fleet that ran.
    :returns: One verdict for each rule, in the order of the rules.
    """
    return [
        Verdict(
            rule=rule.name,
            checked=rule.count(journals),
            violations=rule.check(journals),
        )
        for rule in rules
    ]


def format_verdicts(verdicts: Sequence[Verdict]) -> str:
    """Format the verdicts as a table, followed by the first violations of each rule.

    :param verdicts: The verdicts.
    """
    lines = [f"{'rule':<46} {'checked':>8} {'broken':>7}  verdict"]
    for verdict in verdicts:
        result = "BROKEN" if verdict.violations else "held"
        if not verdict.checked and not verdict.violations:
            result = "not tried"
        lines.append(
            f"{verdict.rule:<46} {verdict.checked:>8} "
            f"{len(verdict.violations):>7}  {result}"
        )
    for verdict in verdicts:
        lines += [
            f"{verdict.rule}: {line}"
            for line in verdict.violations[:MAX_SHOWN_VIOLATIONS]
        ]
    return "\n".join(lines)


async def run_soak(
    *,
    seed: int,
    duration_s: float,
    directory: Path,
    kinds: Sequence[FaultKind] = tuple(FaultKind),
) -> Journals:
    """Run a fleet under load and faults.

    :param seed: The seed that determines the load and the faults.
    :param duration_s: How long requests are sent.
    :param directory: The directory that journals and logs are written to.
    :param kinds: The kinds of faults to draw from.
    :returns: The journals of the run.
    :raises FleetError: The fleet could not be set up.
    :raises ProcessError: A program did not start.
    :raises TimeoutError: The run took 120 s longer than ``duration_s``.
    """
    deployment = make_deployment()
    plan = make_load(deployment, seed, duration_s)
    events = plan_faults(
        seed=seed,
        duration_s=duration_s,
        targets=make_fault_targets(deployment),
        kinds=kinds,
    )
    fleet_plan = make_fleet_plan(deployment, seed)
    _log_events(directory, events)
    async with (
        asyncio.timeout(duration_s + TIMEOUT_MARGIN_S),
        run_fleet(fleet_plan, directory) as fleet,
    ):
        if len(fleet.processes.running) > MAX_PROCESSES:
            raise FleetError(
                f"the fleet has more processes than the limit of {MAX_PROCESSES}"
            )
        injection = Injection(
            fleet=fleet, teams=[team.name for team in deployment.teams]
        )
        began_s = time.time()
        injecting = asyncio.create_task(inject_faults(injection, events, began_s))
        records = await send_load(
            plan, instance_urls=fleet.instance_urls, get_key=_find_application_key
        )
        await injecting
        stopped_s = time.time()
        ended = _list_ended(fleet)
    journals = Journals(
        data_centres=_find_data_centres(fleet),
        began_s=began_s,
        stopped_s=stopped_s,
        told=_join_requests(fleet, plan, records, began_s),
        faults=injection.spans,
        changes=injection.changes,
        ended=ended,
    )
    _read_files(fleet, journals)
    _write_journals(directory, journals)
    return journals


def _log_events(directory, events: Sequence[FaultEvent]):
    directory.mkdir(parents=True, exist_ok=True)
    lines = [orjson.dumps(asdict(event)).decode() for event in events]
    (directory / "faults.jsonl").write_text("\n".join(lines) + "\n")
    print(
        f"{len(events)} faults drawn, listed in {directory / 'faults.jsonl'}",
        flush=True,
    )


def _find_application_key(planned):
    return make_application_key(planned.team, planned.service_class.name)


def _list_ended(fleet: Fleet) -> dict[str, int]:
    return {
        name: program.process.returncode
        for name, program in fleet.processes.running.items()
        if program.process.returncode is not None
    }


def _find_data_centres(fleet):
    deployment = fleet.layout.plan.deployment
    data_centres = {
        instance.name: instance.data_centre
        for instance in fleet.layout.instances.values()
    }
    for upstream in (*deployment.engines, *deployment.services):
        data_centres[upstream.name] = upstream.data_centre
    return data_centres


def _join_requests(fleet, plan, records, began_s):
    names = list(fleet.layout.instances)
    return [
        _make_caller_request(
            planned, record, names[planned.instance_draw % len(names)], began_s
        )
        for planned, record in zip(plan, records, strict=True)
    ]


def _make_caller_request(
    planned: PlannedRequest, record: RequestRecord, instance, began_s
):
    if planned.body is None:
        path = f"/submissions/{planned.number}"
        content = planned.idempotency_key.encode()
        digest = compute_call_digest("POST", path, content)
    else:
        digest = compute_request_digest(planned.body)
    return CallerRequest(
        number=planned.number,
        digest=digest,
        request_id=record.request_id,
        instance=instance,
        service_class=planned.service_class.name,
        tier=planned.service_class.tier,
        target=planned.target,
        outcome=record.outcome,
        reason=record.reason,
        sent_s=began_s + planned.at_s,
        ended_s=began_s + planned.at_s + record.total_s,
        deadline_s=planned.service_class.deadline_s,
        idempotency_key=planned.idempotency_key,
        is_right=record.is_right,
    )


def _read_files(fleet, journals):
    layout = fleet.layout
    for upstream in set(journals.data_centres) - set(layout.instances):
        path = layout.directory / f"{upstream}.jsonl"
        journals.ran += read_upstream_journal(upstream, read_journal(path))
    journals.ran.sort(key=lambda entry: entry.time_s)
    journals.commits = read_commits(read_journal(layout.directory / "platform.jsonl"))
    for instance in layout.instances:
        kills = select_spans(journals.faults, [FaultKind.KILL_INSTANCE], [instance])
        in_force, violations = read_logs(
            instance,
            layout.directory / f"{instance}.log",
            [span.begin_s for span in kills],
        )
        journals.in_force += in_force
        journals.violations += violations


def _write_journals(directory, journals):
    for name in ("told", "faults", "changes", "in_force"):
        entries = getattr(journals, name)
        lines = [orjson.dumps(asdict(entry)).decode() for entry in entries]
        path = directory / f"checked-{name}.jsonl"
        path.write_text("\n".join(lines) + "\n")


async def _run_and_check_own(arguments, seed, duration_s, directory):
    kinds = _read_kinds(arguments, FaultKind)
    journals = await run_soak(
        seed=seed, duration_s=duration_s, directory=directory, kinds=kinds
    )
    return check_journals(journals)


async def _run_and_check_site(arguments, seed, duration_s, directory):
    journal = await run_site_soak(
        seed=seed,
        duration_s=duration_s,
        directory=directory,
        instances=min(MAX_SITE_INSTANCES, int(arguments["--instances"])),
        kinds=_read_kinds(arguments, SiteFault),
    )
    return check_journals(journal, SITE_RULES)


def _read_kinds(arguments, kinds):
    names = arguments["--kinds"]
    return [kinds(name) for name in names.split(",")] if names else list(kinds)


async def _run_command(arguments) -> int:
    task = asyncio.current_task()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGINT, signal.SIGTERM):
        loop.add_signal_handler(signal_number, task.cancel)
    seed = int(arguments["--seed"])
    duration_s = min(MAX_DURATION_S, float(arguments["--duration-s"]))
    fleet = arguments["--fleet"]
    directory = Path(arguments["--output"]).resolve() / f"{fleet}-seed-{seed}"
    shutil.rmtree(directory, ignore_errors=True)
    print(f"{fleet} fleet, seed {seed}, {duration_s:.0f} s", flush=True)
    run = _run_and_check_site if fleet == "site" else _run_and_check_own
    verdicts = await run(arguments, seed, duration_s, directory)
    print(format_verdicts(verdicts))
    if any(verdict.violations for verdict in verdicts):
        print(f"journals and logs: {directory}")
        return EXIT_BROKEN
    shutil.rmtree(directory)
    return 0


def main() -> int:
    """Run the command line.

    :returns: The exit code of the process.
    """
    arguments = docopt(__doc__)
    uvloop.install()
    try:
        return asyncio.run(_run_command(arguments))
    except asyncio.CancelledError:
        print(
            "the run was interrupted; all its processes have been stopped",
            file=sys.stderr,
        )
        return EXIT_INTERRUPTED
    except (
        FleetError,
        ProcessError,
        SiteError,
        TimeoutError,
        BaseExceptionGroup,
    ) as error:
        print(f"the run failed: {error!r}", file=sys.stderr)
        return EXIT_FAILED


if __name__ == "__main__":
    sys.exit(main())
