"""Measures the ways to divide capacity, under a burst and faults.

Usage:
    experiment [options]

Options:
    --settings=FILE       TOML with the options below, spelt with underscores.
    --deployment=NAME     partnership or frigotehnica.
    --runs=NAMES          Comma-separated; all by default.
    --duration-s=S        How long requests are sent, 8 to 600.
    --draft-load=X        Drafting in the burst, over the capacity.
    --draft-deadline-s=S  The deadline of drafting, 30 to 120.
    --seed=N              Equal seeds send equal requests.
    --output=DIR          Where logs, JSON and plots go.

The runs are home and independent, each followed by -quiet (no faults, load
reports 2 s old) or by the age of the load reports under faults (-0.5, -2, -10),
and reference. In the middle half drafting comes at --draft-load. Under faults
engine-1 slows to a third, engine-4 crashes and comes back, engine-2 falls
silent and comes back.
"""

import asyncio
import dataclasses
import signal
import sys
import tomllib
from pathlib import Path
from typing import Annotated, Literal

import orjson
import uvloop
from docopt import docopt
from pydantic import BaseModel, ConfigDict, Field, ValidationError

from benchmarks.bounds import Judgement, judge_runs
from benchmarks.deployments import DEPLOYMENTS
from benchmarks.report import format_table, format_tables, plot_attainment
from benchmarks.run import (
    RunResult,
    Variant,
    make_load,
    run_variant,
    shorten_deadlines,
)

QUIET_LOAD_LAG_S = 2.0
RUN_TIMEOUT_S = 900
EXIT_INVALID_SETTINGS = 2
EXIT_INTERRUPTED = 130
JUDGEMENT_HEADER = ("run", "bound", "measured", "met")
MACHINE_HEADER = ("run", "useful tokens", "cores used", "load before", "load after")
VERDICTS = {True: "met", False: "NOT MET", None: "not judged"}


def make_variants() -> dict[str, Variant]:
    """Make all variants of the experiment.

    :returns: The variants by name, in the order in which they run.
    """
    reference = Variant(name="reference", is_reference=True)
    variants = [reference]
    for division in ("home", "independent"):
        variants.append(
            Variant(
                name=f"{division}-quiet", division=division, load_lag_s=QUIET_LOAD_LAG_S
            )
        )
        for lag_s in (0.5, 2.0, 10.0):
            variants.append(
                Variant(
                    name=f"{division}-{lag_s:g}",
                    division=division,
                    load_lag_s=lag_s,
                    has_faults=True,
                )
            )
    return {variant.name: variant for variant in variants}


VARIANTS = make_variants()


class ExperimentSettings(BaseModel):
    """The options of the experiment, from a TOML file and the command line."""

    model_config = ConfigDict(frozen=True, extra="forbid")

    deployment: Literal["partnership", "frigotehnica"] = "partnership"
    runs: tuple[str, ...] = tuple(VARIANTS)
    duration_s: Annotated[float, Field(ge=8, le=600)] = 24.0
    draft_load: Annotated[float, Field(ge=0, le=10)] = 3.0
    draft_deadline_s: Annotated[float, Field(ge=30, le=120)] = 40.0
    seed: int = 1
    output: Path = Path("build/experiment")


class UnknownRunError(Exception):
    """A requested run is not one of the variants of the experiment."""


def read_settings(arguments: dict[str, str | None]) -> ExperimentSettings:
    """Read the settings; options of the command line override those of the file.

    :param arguments: The command-line options as parsed by docopt.
    :raises ValidationError: A value is invalid.
    :raises UnknownRunError: A requested run does not exist.
    """
    values = {}
    if arguments["--settings"]:
        values = tomllib.loads(Path(arguments["--settings"]).read_text())
    for option, value in arguments.items():
        if value is not None and option != "--settings":
            values[option.lstrip("-").replace("-", "_")] = value
    if isinstance(values.get("runs"), str):
        values["runs"] = values["runs"].split(",")
    settings = ExperimentSettings(**values)
    unknown = set(settings.runs) - VARIANTS.keys()
    if unknown:
        raise UnknownRunError(
            f"unknown runs {sorted(unknown)}; valid runs are {list(VARIANTS)}"
        )
    return settings


async def run(settings: ExperimentSettings) -> dict[str, RunResult]:
    """Run the selected variants one after another and write the report.

    The report is written again after each run, so that the results of completed
    runs are kept if a later run fails.

    :param settings: The settings of the experiment.
    :returns: The results by the name of the run.
    """
    deployment = shorten_deadlines(
        DEPLOYMENTS[settings.deployment](), settings.draft_deadline_s
    )
    load = make_load(settings.duration_s, settings.draft_load)
    output = settings.output.resolve() / settings.deployment
    results = {}
    for name in settings.runs:
        async with asyncio.timeout(RUN_TIMEOUT_S):
            results[name] = await run_variant(
                deployment,
                VARIANTS[name],
                load,
                seed=settings.seed,
                directory=_prepare_directory(output / name),
            )
        print(f"{name} is done", flush=True)
        _write_report(output, results, judge_runs(results, deployment.classes))
    print(describe(results, judge_runs(results, deployment.classes)))
    return results


def describe(results: dict[str, RunResult], judgements: list[Judgement]) -> str:
    """Format the results as tables.

    :param results: The results by the name of the run.
    :param judgements: The results of checking the bounds.
    """
    machine_rows = [
        (
            name,
            result.useful_tokens,
            f"{result.cpu_s / result.measures.elapsed_s:.1f}",
            *(f"{load:.1f}" for load in result.load_average),
        )
        for name, result in results.items()
    ]
    judgement_rows = [
        (each.run, each.bound, each.measured, VERDICTS[each.met]) for each in judgements
    ]
    return "\n".join(
        [
            format_tables({name: each.measures for name, each in results.items()}),
            "",
            format_table(MACHINE_HEADER, machine_rows),
            "",
            format_table(JUDGEMENT_HEADER, judgement_rows),
        ]
    )


def _prepare_directory(path):
    path.mkdir(parents=True, exist_ok=True)
    for journal in path.glob("*.jsonl"):
        journal.unlink()
    return path


def _write_report(output, results, judgements):
    content = {
        "runs": {name: _encode(result) for name, result in results.items()},
        "bounds": [dataclasses.asdict(each) for each in judgements],
    }
    encoded = orjson.dumps(content, option=orjson.OPT_INDENT_2)
    (output / "measures.json").write_bytes(encoded)
    (output / "tables.txt").write_text(describe(results, judgements) + "\n")
    for name, result in results.items():
        records = [dataclasses.asdict(each) for each in result.records]
        (output / name / "records.json").write_bytes(orjson.dumps(records))
    measures = {name: result.measures for name, result in results.items()}
    plot_attainment(output / "attainment.png", measures)


def _encode(result):
    return {
        each.name: getattr(result, each.name)
        for each in dataclasses.fields(result)
        if each.name != "records"
    }


async def _run_until_signalled(settings):
    task = asyncio.current_task()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGINT, signal.SIGTERM):
        loop.add_signal_handler(signal_number, task.cancel)
    await run(settings)


def main() -> int:
    """Run the experiment from the command line.

    :returns: The exit code: 0 after a complete run, 2 for invalid settings, 130
        after SIGINT or SIGTERM.
    """
    try:
        settings = read_settings(docopt(__doc__))
    except (
        ValidationError,
        UnknownRunError,
        OSError,
        tomllib.TOMLDecodeError,
    ) as error:
        print(error, file=sys.stderr)
        return EXIT_INVALID_SETTINGS
    uvloop.install()
    try:
        asyncio.run(_run_until_signalled(settings))
    except asyncio.CancelledError:
        print("interrupted; all processes are stopped", file=sys.stderr)
        return EXIT_INTERRUPTED
    return 0


if __name__ == "__main__":
    sys.exit(main())
