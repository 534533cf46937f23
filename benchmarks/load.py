"""Sends a seeded open-loop load to one model and reports what callers saw.

Usage:
    load (--entry=URL)... [--engine=URL]... [options]

Options:
    --entry=URL             Base address of a router or an engine; repeatable.
    --engine=URL            Engine to read statistics from; repeatable.
    --model=NAME            The model to ask [default: model-a].
    --key=KEY               The callers' key [default: none].
    --capacity-tokens-s=N   Tokens a second at full batch [default: 570].
    --urgent-load=X         Urgent load over capacity [default: 0.4].
    --draft-load=X          Drafting over capacity in the burst [default: 3].
    --duration-s=S          How long requests are sent [default: 10].
    --seed=N                Equal seeds send equal requests [default: 1].
    --output=DIR            Where JSON and plots go [default: build/load].
"""

import asyncio
from pathlib import Path

import aiohttp
import uvloop
from docopt import docopt

from benchmarks.callers import send_load
from benchmarks.measures import measure_run
from benchmarks.report import format_tables, plot_attainment, write_json
from benchmarks.workload import ModelWork, Phase, TeamLoad, plan_load
from jujubenotch.records import ServiceClass

QUERY = ServiceClass(name="query", tier=0, first_token_target_s=1.2, deadline_s=20.0)
DRAFT = ServiceClass(
    name="draft",
    tier=3,
    first_token_target_s=30.0,
    between_tokens_target_s=0.1,
    deadline_s=60.0,
)
CLASSES = (QUERY, DRAFT)
TEAMS = (
    TeamLoad(name="large", weight=2.0, load_share=0.6),
    TeamLoad(name="medium", weight=1.0, load_share=0.3),
    TeamLoad(name="small", weight=1.0, load_share=0.1),
)
QUERY_MAX_TOKENS = 200
DRAFT_MAX_TOKENS = 1600
QUERY_PROMPT_CHARACTERS = 800
DRAFT_PROMPT_CHARACTERS = 4000


async def read_generated_tokens(engines: list[str]) -> int:
    """Return the total number of tokens that engines have generated.

    :param engines: The base URLs of the engines.
    """
    total = 0
    async with aiohttp.ClientSession() as session:
        for url in engines:
            async with session.get(f"{url}/statistics") as response:
                total += (await response.json())["tokens_generated"]
    return total


def make_plan(arguments: dict[str, str]) -> list:
    """Plan the load that the command line describes.

    The drafting load is at its burst level during the middle half of the run and
    at a tenth of that level before and after.

    :param arguments: The command-line options as parsed by docopt.
    :returns: The requests, ordered by planned time.
    """
    duration_s = float(arguments["--duration-s"])
    urgent = float(arguments["--urgent-load"])
    draft = float(arguments["--draft-load"])
    quarter_s = duration_s / 4
    phases = (
        Phase(duration_s=quarter_s, load=draft / 10),
        Phase(duration_s=2 * quarter_s, load=draft),
        Phase(duration_s=quarter_s, load=draft / 10),
    )
    work = (
        ModelWork(
            service_class=QUERY,
            model=arguments["--model"],
            max_tokens=QUERY_MAX_TOKENS,
            prompt_characters=QUERY_PROMPT_CHARACTERS,
            phases=(Phase(duration_s=duration_s, load=urgent),),
        ),
        ModelWork(
            service_class=DRAFT,
            model=arguments["--model"],
            max_tokens=DRAFT_MAX_TOKENS,
            prompt_characters=DRAFT_PROMPT_CHARACTERS,
            phases=phases,
        ),
    )
    return plan_load(
        model_work=work,
        service_work=(),
        teams=TEAMS,
        capacity_tokens_per_s=float(arguments["--capacity-tokens-s"]),
        seed=int(arguments["--seed"]),
    )


async def run(arguments: dict[str, str]) -> None:
    """Send the load, then write and print the report.

    :param arguments: The command-line options as parsed by docopt.
    """
    engines = arguments["--engine"]
    before = await read_generated_tokens(engines)
    records = await send_load(
        make_plan(arguments),
        instance_urls=arguments["--entry"],
        get_key=lambda planned: arguments["--key"],
    )
    generated = await read_generated_tokens(engines) - before
    measures = measure_run(
        records,
        classes=CLASSES,
        team_weights={team.name: team.weight for team in TEAMS},
        generated_tokens=generated if engines else None,
    )
    runs = {"load": measures}
    output = Path(arguments["--output"])
    output.mkdir(parents=True, exist_ok=True)
    write_json(output / "measures.json", runs)
    plot_attainment(output / "attainment.png", runs)
    print(format_tables(runs))


def main() -> None:
    """Run the load from the command line."""
    uvloop.install()
    asyncio.run(run(docopt(__doc__)))


if __name__ == "__main__":
    main()
