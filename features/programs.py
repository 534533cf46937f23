"""Starts the project's programs for the features, and stops them afterwards."""

import os
import re
import signal
import socket
import subprocess
import sys
import time
from dataclasses import dataclass
from pathlib import Path

import tomli_w

from benchmarks.processes import find_free_ports

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
    """Start a program and wait for the line that it prints when it listens.

    The program is stopped at the end of the scenario.
    """
    process = subprocess.Popen(
        [sys.executable, "-m", module, *arguments],
        cwd=ROOT,
        env=dict(os.environ, PYTHONPATH=str(ROOT)),
        stdout=subprocess.PIPE,
        text=True,
    )
    context.add_cleanup(stop_program, process)
    match = READY_LINE.match(process.stdout.readline())
    assert match, (
        f"{module} did not print the line with its host and port; see its standard error"
    )
    return Program(process=process, host=match[1], port=int(match[2]))


def stop_program(process):
    process.terminate()
    try:
        process.wait(STOP_TIMEOUT_S)
    except subprocess.TimeoutExpired:
        process.kill()
        process.wait()
    process.stdout.close()


@dataclass(frozen=True, kw_only=True)
class Daemon:
    process: subprocess.Popen
    log: Path
    callers_port: int
    operators_port: int
    peers_port: int

    @property
    def url(self):
        return f"http://127.0.0.1:{self.callers_port}"

    @property
    def operators_url(self):
        return f"http://127.0.0.1:{self.operators_port}"


def start_daemon(context, directory, sections, name="a1"):
    """Start a daemon on free ports and wait until it accepts callers.

    The given sections are merged into a minimal set of valid settings. The daemon is
    stopped at the end of the scenario.
    """
    ports = find_free_ports(3)
    settings = {
        "instance": {"name": name, "data_centre": "north"},
        "callers": {"port": ports[0]},
        "operators": {"port": ports[1]},
        "peers": {"port": ports[2]},
        "invariants": {"fatal": True},
    }
    for section, values in sections.items():
        settings[section] = settings.get(section, {}) | values
    path = Path(directory) / f"{name}.toml"
    path.write_text(tomli_w.dumps(settings))
    log = Path(directory) / f"{name}.log"
    with log.open("ab") as log_file:
        process = subprocess.Popen(
            [
                sys.executable,
                "-m",
                "jujubenotch.daemon.program",
                f"--settings={path}",
            ],
            cwd=ROOT,
            env=dict(os.environ, PYTHONPATH=str(ROOT)),
            stdout=log_file,
            stderr=log_file,
        )
    context.add_cleanup(stop_daemon, process)
    daemon = Daemon(
        process=process,
        log=log,
        callers_port=ports[0],
        operators_port=ports[1],
        peers_port=ports[2],
    )
    wait_until(lambda: accepts_connections(ports[0]) or process.poll() is not None)
    assert process.poll() is None, log.read_text()
    return daemon


def stop_daemon(process):
    if process.poll() is None:
        process.send_signal(signal.SIGCONT)
        process.terminate()
    try:
        process.wait(STOP_TIMEOUT_S)
    except subprocess.TimeoutExpired:
        process.kill()
        process.wait()


def accepts_connections(port):
    try:
        socket.create_connection(("127.0.0.1", port), timeout=1).close()
    except OSError:
        return False
    return True


def wait_until(condition, timeout_s=20.0):
    deadline_s = time.monotonic() + timeout_s
    while not condition():
        assert time.monotonic() < deadline_s, (
            f"the awaited condition was not met within {timeout_s} s"
        )
        time.sleep(0.02)
