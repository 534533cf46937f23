"""Finds the line of a key in a TOML text, which the parser doesn't tell."""

import re
from collections.abc import Sequence

ARRAY_HEADER = re.compile(r"^\s*\[\[\s*([A-Za-z0-9_-]+)\s*\]\]")
TABLE_HEADER = re.compile(r"^\s*\[\s*([A-Za-z0-9_-]+)\s*\]")
ASSIGNMENT = re.compile(r"^\s*\"?([A-Za-z0-9_-]+)\"?\s*=")


def index_lines(text: str) -> dict[tuple[str | int, ...], int]:
    """Map the paths of tables and keys to their lines.

    Values that span lines may hide a key or show a false one; the index is
    for messages only.

    :param text: A TOML document.
    :returns: Lines from 1, by paths such as ``("team", 0, "weight")``.
    """
    lines = {}
    counts: dict[str, int] = {}
    table: tuple[str | int, ...] = ()
    for number, line in enumerate(text.splitlines(), start=1):
        if header := ARRAY_HEADER.match(line):
            name = header[1]
            table = (name, counts.get(name, 0))
            counts[name] = counts.get(name, 0) + 1
            lines[table] = number
            lines.setdefault((name,), number)
        elif header := TABLE_HEADER.match(line):
            table = (header[1],)
            lines.setdefault(table, number)
        elif assignment := ASSIGNMENT.match(line):
            lines.setdefault((*table, assignment[1]), number)
    return lines


def find_line(
    lines: dict[tuple[str | int, ...], int], path: Sequence[str | int]
) -> int:
    """Return the line of a path, or of the nearest table around it.

    :param lines: What :func:`index_lines` returned.
    :param path: The path of a key.
    :returns: A line from 1; 0 when neither is known.
    """
    for length in range(len(path), 0, -1):
        if line := lines.get(tuple(path[:length])):
            return line
    return 0
