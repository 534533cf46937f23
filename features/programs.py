"""Starts the project's programs for features, and ends what it started."""

import os
import re
import subprocess
import sys
from dataclasses import dataclass
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
READY_LINE = re.compile(r"listening host=(\S+) port=(\d+)")
STOP_TIMEOUT_S = 10


@dataclass(frozen=True, kw_only=True)
class Program:
    process: subprocess.Popen
    host: str
    port: int

    @property
    def url(self):
        return f"http://{self.host}:{self.port}"


def start_program(context, module, *arguments):
    """Start a program that prints a line when it listens; ends with the scenario."""
    process = subprocess.Popen(
        [sys.executable, "-m", module, *arguments],
        cwd=ROOT,
        env=dict(os.environ, PYTHONPATH=str(ROOT)),
        stdout=subprocess.PIPE,
        text=True,
    )
    context.add_cleanup(stop_program, process)
    match = READY_LINE.match(process.stdout.readline())
    assert match, f"{module} ended before it listened"
    return Program(process=process, host=match[1], port=int(match[2]))


def stop_program(process):
    process.terminate()
    try:
        process.wait(STOP_TIMEOUT_S)
    except subprocess.TimeoutExpired:
        process.kill()
        process.wait()
    process.stdout.close()
