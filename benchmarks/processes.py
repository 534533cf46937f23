"""Starts the project's programs on loopback, and ends the processes it started."""

import asyncio
import fcntl
import functools
import os
import random
import signal
import socket
import sys
import tempfile
from collections.abc import Sequence
from dataclasses import dataclass, field
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
LOOPBACK = "127.0.0.1"
FIRST_PORT = 10_000
LAST_PORT = 32_000
# All runs on the machine lock bytes of this file.
RESERVATIONS_PATH = Path(tempfile.gettempdir()) / "jujubenotch-ports.lock"
READY_TIMEOUT_S = 20.0
READY_POLL_S = 0.02
STOP_TIMEOUT_S = 15.0


_reserved_ports: set[int] = set()


class ProcessError(Exception):
    """A program did not start."""


@dataclass(kw_only=True)
class RunningProgram:
    """A process that this run started.

    :param port: The port that accepts connections once the process is ready.
    :param log_path: The file that standard output and standard error go to.
    """

    name: str
    module: str
    arguments: tuple[str, ...]
    port: int
    log_path: Path
    process: asyncio.subprocess.Process

    @property
    def url(self) -> str:
        """The base address of the process."""
        return f"http://{LOOPBACK}:{self.port}"


@dataclass(kw_only=True)
class Processes:
    """All processes of one run.

    :param directory: The directory that the logs are written to.
    :param running: The processes that have not been stopped or killed, by name.
    """

    directory: Path
    running: dict[str, RunningProgram] = field(default_factory=dict)


def find_free_ports(count: int) -> list[int]:
    """Find free ports on loopback and reserve them until this process ends.

    The ports lie below the range that the kernel uses for outgoing connections, so
    that no outgoing connection occupies one before a program listens on it. Other
    runs on the machine do not draw a reserved port, also while no program listens
    on it.

    :param count: The number of ports.
    :returns: Distinct ports that were free when they were checked.
    :raises ProcessError: There are not that many free ports.
    """
    ports = []
    for port in random.sample(range(FIRST_PORT, LAST_PORT), LAST_PORT - FIRST_PORT):
        if len(ports) == count:
            break
        if _reserve(port) and _is_free(port):
            ports.append(port)
    if len(ports) < count:
        raise ProcessError(
            f"only {len(ports)} of {count} ports are free from {FIRST_PORT} "
            f"to {LAST_PORT - 1}"
        )
    return ports


def _reserve(port):
    """Lock the byte that stands for the port; the lock ends with this process."""
    if port in _reserved_ports:
        return False
    try:
        fcntl.lockf(_open_reservations(), fcntl.LOCK_EX | fcntl.LOCK_NB, 1, port)
    except OSError:
        return False
    _reserved_ports.add(port)
    return True


@functools.cache
def _open_reservations():
    # The kernel drops all locks of this process on the file when the process closes
    # any descriptor of it, so one descriptor is opened and never closed.
    return RESERVATIONS_PATH.open("ab")


def _is_free(port):
    with socket.socket() as probe:
        try:
            probe.bind((LOOPBACK, port))
        except OSError:
            return False
    return True


async def start_program(
    processes: Processes, name: str, module: str, arguments: Sequence[str], port: int
) -> RunningProgram:
    """Start a program and wait until its port accepts connections.

    :param processes: The processes of the run.
    :param name: A name for the process, unique in the run.
    :param module: The Python module to run.
    :param arguments: The command-line arguments.
    :param port: The port that accepts connections once the program is ready.
    :returns: The running program.
    :raises ProcessError: The program ended, or its port stayed closed for 20 s.
    """
    log_path = processes.directory / f"{name}.log"
    with log_path.open("ab") as log:
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            module,
            *arguments,
            cwd=ROOT,
            env=dict(os.environ, PYTHONPATH=str(ROOT)),
            stdin=asyncio.subprocess.DEVNULL,
            stdout=log,
            stderr=log,
        )
    program = RunningProgram(
        name=name,
        module=module,
        arguments=tuple(arguments),
        port=port,
        log_path=log_path,
        process=process,
    )
    processes.running[name] = program
    await _wait_until_ready(program)
    return program


async def _wait_until_ready(program):
    try:
        async with asyncio.timeout(READY_TIMEOUT_S):
            while not await _accepts(program.port):
                if program.process.returncode is not None:
                    raise ProcessError(
                        _describe(program, "ended before its port accepted connections")
                    )
                await asyncio.sleep(READY_POLL_S)
    except TimeoutError as error:
        raise ProcessError(
            _describe(program, "did not accept connections within 20 s")
        ) from error


async def _accepts(port):
    try:
        _, writer = await asyncio.open_connection(LOOPBACK, port)
    except OSError:
        return False
    writer.close()
    return True


def _describe(program, problem):
    log = program.log_path.read_text(errors="replace")[-2000:]
    return f"{program.name} {problem}; the end of its log:\n{log}"


def send_signal(processes: Processes, name: str, number: signal.Signals) -> None:
    """Send a signal to a process that this run started.

    :param processes: The processes of the run.
    :param name: The name of the process.
    :param number: The signal.
    """
    program = processes.running[name]
    if program.process.returncode is None:
        program.process.send_signal(number)


async def wait_for_end(processes: Processes, name: str) -> int:
    """Wait until a process has ended; it no longer counts as a running process.

    :param processes: The processes of the run.
    :param name: The name of the process.
    :returns: The exit code.
    """
    program = processes.running.pop(name)
    return await program.process.wait()


async def stop_processes(processes: Processes) -> None:
    """End every process of the run: SIGTERM first, SIGKILL after 15 s.

    :param processes: The processes of the run.
    """
    names = list(processes.running)
    for name in names:
        send_signal(processes, name, signal.SIGCONT)
        send_signal(processes, name, signal.SIGTERM)
    await asyncio.gather(*(_stop(processes, name) for name in names))


async def _stop(processes, name):
    program = processes.running.pop(name)
    try:
        async with asyncio.timeout(STOP_TIMEOUT_S):
            await program.process.wait()
    except TimeoutError:
        program.process.kill()
        await program.process.wait()
