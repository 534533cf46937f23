import json
import subprocess
import sys
import tempfile
from pathlib import Path

from behave import then, when

from benchmarks.capacity_table import MEASURES, measure_list_bytes

TIMEOUT_S = 60


@when("the capacity table is measured")
def measure_table(context):
    with tempfile.TemporaryDirectory() as directory:
        path = Path(directory) / "table.json"
        command = [sys.executable, "-m", "benchmarks.capacity_table"]
        command += ["--repeats=2", f"--json={path}"]
        subprocess.run(command, check=True, capture_output=True, timeout=TIMEOUT_S)
        context.slopes = {
            entry["name"]: entry for entry in json.loads(path.read_text())
        }


@then("each slope lies between the smallest and the largest of its fits")
def check_spread(context):
    assert context.slopes.keys() == {measure[0] for measure in MEASURES}
    for entry in context.slopes.values():
        assert entry["least"] <= entry["slope"] <= entry["most"], entry


@then("no target size exceeds the largest measured size")
def check_sizes(context):
    for name, _, _, counts, target, _ in MEASURES:
        assert target <= max(counts), name
        assert context.slopes[name]["target"] == target


@then("the predicted size of a list of {count:d} entries is within 5% of its real size")
def check_list(context, count):
    entry = context.slopes["list, one read"]
    actual_bytes = measure_list_bytes(count)
    assert abs(entry["at_target"] / actual_bytes - 1) < 0.05, (entry, actual_bytes)
