"""Plots attainment by class and useful tokens of the experiment's runs.

Usage:
    attainment_plot [--input=DIR] [--output=FILE] [--runs=NAMES]

Options:
    --input=DIR    Where the experiment wrote [default: build/experiment].
    --output=FILE  The image [default: build/experiment/attainment.png].
    --runs=NAMES   Runs to show, comma-separated; five by default.
"""

from pathlib import Path

import matplotlib
import orjson
from docopt import docopt

matplotlib.use("Agg")
from matplotlib import pyplot  # noqa: E402

DEFAULT_RUNS = (
    "reference",
    "home-quiet",
    "home-2",
    "independent-quiet",
    "independent-2",
)
BAR_GROUP_WIDTH = 0.8
ATTAINMENT_TARGET_PERCENT = 99
PERCENT = 100


def read_runs(path: Path, names: list[str]) -> dict[str, dict]:
    """Read the results of runs from a JSON file of the experiment.

    :param path: The ``measures.json`` file of one deployment.
    :param names: The names of the runs to read; names that the file does not
        contain are skipped.
    :returns: The results by the name of the run.
    """
    runs = orjson.loads(path.read_bytes())["runs"]
    return {name: runs[name] for name in names if name in runs}


def plot_deployments(deployments: dict[str, dict[str, dict]], path: Path) -> None:
    """Plot attainment and generated tokens, with one row for each deployment.

    :param deployments: For each deployment name, the results by run name.
    :param path: The image file to write.
    """
    figure, rows = pyplot.subplots(
        len(deployments),
        2,
        figsize=(12, 4 * len(deployments)),
        squeeze=False,
        width_ratios=(3, 2),
    )
    for (name, runs), (left, right) in zip(deployments.items(), rows, strict=True):
        _plot_attainment(left, name, runs)
        _plot_tokens(right, runs)
    figure.tight_layout()
    figure.savefig(path, dpi=100)
    pyplot.close(figure)


def _plot_attainment(axes, deployment, runs):
    width = BAR_GROUP_WIDTH / len(runs)
    for number, (name, run) in enumerate(runs.items()):
        classes = run["measures"]["classes"]
        positions = [index + number * width for index in range(len(classes))]
        values = [PERCENT * each["attainment"] for each in classes]
        axes.bar(positions, values, width, label=name)
    names = [each["name"] for each in classes]
    middle = (BAR_GROUP_WIDTH - width) / 2
    axes.set_xticks([index + middle for index in range(len(names))], names)
    axes.axhline(ATTAINMENT_TARGET_PERCENT, color="grey", linewidth=0.8, linestyle="--")
    axes.set_ylim(0, 105)
    axes.set_title(deployment)
    axes.set_ylabel("offered requests in target, %")
    axes.legend(fontsize=7, loc="lower left")


def _plot_tokens(axes, runs):
    useful = [run["useful_tokens"] for run in runs.values()]
    wasted = [
        run["measures"]["generated_tokens"] - run["useful_tokens"]
        for run in runs.values()
    ]
    axes.barh(list(runs), useful, label="in whole answers")
    axes.barh(list(runs), wasted, left=useful, label="wasted")
    axes.invert_yaxis()
    axes.set_xlabel("tokens generated")
    axes.legend(fontsize=7, loc="lower left")


def main() -> None:
    """Read the results of the experiment and write the plot."""
    arguments = docopt(__doc__)
    names = (
        arguments["--runs"].split(",") if arguments["--runs"] else list(DEFAULT_RUNS)
    )
    paths = sorted(Path(arguments["--input"]).glob("*/measures.json"))
    deployments = {path.parent.name: read_runs(path, names) for path in paths}
    plot_deployments(deployments, Path(arguments["--output"]))


if __name__ == "__main__":
    main()
