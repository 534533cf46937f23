"""Writes the measures of runs as tables, as JSON and as plots."""

import dataclasses
from collections.abc import Mapping
from pathlib import Path

import matplotlib
import orjson

from benchmarks.measures import Measures

matplotlib.use("Agg")
from matplotlib import pyplot  # noqa: E402

CLASS_HEADER = (
    "run",
    "class",
    "tier",
    "offered",
    "done",
    "wrong",
    "refused",
    "in target",
    "of admitted",
    "first p50 s",
    "first p95 s",
    "between p95 ms",
)
REASON_HEADER = ("run", "class", "refused or failed for", "requests")
RUN_HEADER = ("run", "elapsed s", "tokens/s", "wasted", "fairness", "refusal p95 ms")


def format_tables(runs: Mapping[str, Measures]) -> str:
    """Format the measures of runs as tables.

    :param runs: The measures by the name of the run.
    """
    class_rows = [
        (name, *_describe_class(each))
        for name, measures in runs.items()
        for each in measures.classes
    ]
    run_rows = [(name, *_describe_run(measures)) for name, measures in runs.items()]
    reason_rows = [
        (name, each.name, reason, count)
        for name, measures in runs.items()
        for each in measures.classes
        for reason, count in sorted(each.reasons.items())
    ]
    return "\n".join(
        [
            format_table(CLASS_HEADER, class_rows),
            "",
            format_table(RUN_HEADER, run_rows),
            "",
            format_table(REASON_HEADER, reason_rows or [("none", "", "", 0)]),
        ]
    )


def format_table(header: tuple, rows: list[tuple]) -> str:
    """Format a table whose columns are as wide as their widest cells.

    :param header: The names of the columns.
    :param rows: The cells of each row.
    """
    cells = [header, *(tuple(str(cell) for cell in row) for row in rows)]
    widths = [max(map(len, column)) for column in zip(*cells, strict=True)]
    return "\n".join(
        "  ".join(cell.ljust(width) for cell, width in zip(row, widths, strict=True))
        for row in cells
    )


def write_json(path: Path, runs: Mapping[str, Measures]) -> None:
    """Write the measures of runs as JSON.

    :param path: The file to write.
    :param runs: The measures by the name of the run.
    """
    content = {name: dataclasses.asdict(each) for name, each in runs.items()}
    path.write_bytes(orjson.dumps(content, option=orjson.OPT_INDENT_2))


def plot_attainment(path: Path, runs: Mapping[str, Measures]) -> None:
    """Plot the attainment by class and the goodput of each run.

    :param path: The image file to write.
    :param runs: The measures by the name of the run.
    """
    figure, (attainment_axes, goodput_axes) = pyplot.subplots(1, 2, figsize=(12, 4.5))
    width = 0.8 / len(runs)
    for number, (name, measures) in enumerate(runs.items()):
        positions = [index + number * width for index in range(len(measures.classes))]
        values = [100 * each.attainment for each in measures.classes]
        attainment_axes.bar(positions, values, width, label=name)
    names = [each.name for each in next(iter(runs.values())).classes]
    attainment_axes.set_xticks(range(len(names)), names)
    attainment_axes.set_ylabel("offered requests in target, %")
    attainment_axes.legend(fontsize=8)
    goodput = [each.goodput_tokens_per_s for each in runs.values()]
    goodput_axes.barh(list(runs), goodput)
    goodput_axes.set_xlabel("goodput, tokens/s")
    figure.tight_layout()
    figure.savefig(path, dpi=110)
    pyplot.close(figure)


def _describe_class(each):
    return (
        each.name,
        each.tier,
        each.offered,
        each.completed,
        each.wrong,
        each.refused,
        f"{100 * each.attainment:.1f}%",
        f"{100 * each.attainment_of_admitted:.1f}%",
        _format_number(each.first_token_p50_s, 1, 2),
        _format_number(each.first_token_p95_s, 1, 2),
        _format_number(each.between_tokens_p95_s, 1000, 1),
    )


def _describe_run(measures):
    wasted = _format_number(measures.wasted_ratio, 100, 1)
    return (
        f"{measures.elapsed_s:.1f}",
        f"{measures.goodput_tokens_per_s:.0f}",
        wasted if wasted == "-" else f"{wasted}%",
        f"{measures.fairness:.3f}",
        _format_number(measures.refusal_p95_s, 1000, 1),
    )


def _format_number(value, factor, digits):
    return "-" if value is None else f"{value * factor:.{digits}f}"
