"""Runs the formatter, the linter and all features, and prints the overall result.

The feature files of each directory below ``features`` are run by a separate ``behave``
process, or by several if there are many; some processes run in parallel, and after
them, one at a time, those of the directories whose features need the machine for
themselves. Failed scenarios that ``KNOWN-RED.txt`` lists are printed but do not fail
the run.
"""

import itertools
import json
import os
import subprocess
import sys
import tempfile
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
KNOWN_RED_FILE = ROOT / "KNOWN-RED.txt"
PARALLEL_GROUPS = 4
DIRECTORIES_RUN_ALONE = frozenset({"crowds", "endless"})
FILES_PER_GROUP = 8
GROUP_TIMEOUT_S = 900


@dataclass(frozen=True, kw_only=True)
class Result:
    name: str
    passed: bool
    detail: str


@dataclass(frozen=True, kw_only=True)
class FeatureGroup:
    """Feature files of one directory that are run by one process."""

    directory: Path
    files: tuple[Path, ...]

    @property
    def name(self):
        return f"{self.directory} ({', '.join(each.stem for each in self.files)})"


def run_command(*arguments):
    completed = subprocess.run(
        [sys.executable, "-m", *arguments],
        cwd=ROOT,
        capture_output=True,
        text=True,
    )
    return Result(
        name=" ".join(arguments),
        passed=completed.returncode == 0,
        detail=completed.stdout + completed.stderr,
    )


def find_feature_groups():
    files = sorted((ROOT / "features").rglob("*.feature"))
    for directory, members in itertools.groupby(files, lambda path: path.parent):
        rest = tuple(members)
        while rest:
            yield FeatureGroup(directory=directory, files=rest[:FILES_PER_GROUP])
            rest = rest[FILES_PER_GROUP:]


def read_scenarios(report_json, detail):
    for feature in json.loads(report_json or "[]"):
        for element in feature.get("elements", []):
            if element["type"] == "background":
                continue
            yield Result(
                name=f"{feature['name']}: {element['name']}",
                passed=element.get("status") == "passed",
                detail=detail,
            )


def run_group(group):
    with tempfile.NamedTemporaryFile(suffix=".json") as report_file:
        command = [sys.executable, "-m", "behave", "--no-color", "-f", "json"]
        command += ["-o", report_file.name, "-f", "plain", *map(str, group.files)]
        environment = dict(os.environ, PYTHONPATH=str(ROOT))
        try:
            completed = subprocess.run(
                command,
                cwd=ROOT,
                env=environment,
                capture_output=True,
                text=True,
                timeout=GROUP_TIMEOUT_S,
            )
        except subprocess.TimeoutExpired as error:
            detail = f"behave was stopped after {GROUP_TIMEOUT_S} s\n{error.stdout}"
            return [Result(name=group.name, passed=False, detail=detail)]
        detail = completed.stdout + completed.stderr
        results = list(read_scenarios(Path(report_file.name).read_text(), detail))
    has_failed_scenario = any(not result.passed for result in results)
    if completed.returncode != 0 and not has_failed_scenario or not results:
        results.append(Result(name=group.name, passed=False, detail=detail))
    return results


def run_in_parallel(groups, count):
    with ThreadPoolExecutor(count) as executor:
        return list(executor.map(run_group, groups))


def read_known_red():
    if not KNOWN_RED_FILE.exists():
        return frozenset()
    lines = KNOWN_RED_FILE.read_text().splitlines()
    prefix = "test: "
    return frozenset(
        line.removeprefix(prefix) for line in lines if line.startswith(prefix)
    )


def report(results):
    known_red = read_known_red()
    failures = [result for result in results if not result.passed]
    for detail in dict.fromkeys(failure.detail for failure in failures):
        print(detail)
    for failure in failures:
        label = "KNOWN RED" if failure.name in known_red else "FAILED"
        print(f"{label}: {failure.name}")
    unexpected_failures = [
        failure for failure in failures if failure.name not in known_red
    ]
    passed = sum(result.passed for result in results)
    known_red_count = len(failures) - len(unexpected_failures)
    suffix = f", {known_red_count} skipped" if known_red_count else ""
    print(f"{passed} passed, {len(unexpected_failures)} failed{suffix}")
    return 1 if unexpected_failures else 0


def main():
    results = [run_command("ruff", "format", "--check", ".")]
    results.append(run_command("ruff", "check", "."))
    groups = list(find_feature_groups())
    alone = [each for each in groups if each.directory.name in DIRECTORIES_RUN_ALONE]
    together = [each for each in groups if each not in alone]
    for group_results in (
        *run_in_parallel(together, PARALLEL_GROUPS),
        *run_in_parallel(alone, 1),
    ):
        results.extend(group_results)
    return report(results)


if __name__ == "__main__":
    sys.exit(main())
