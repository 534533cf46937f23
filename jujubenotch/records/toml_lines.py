"""Finds the line of a key in a TOML document; the parser does not report lines."""

import re
from collections.abc import Sequence

ARRAY_HEADER = re.compile(r"^\s*\[\[\s*([A-Za-z0-9_-]+)\s*\]\]")
TABLE_HEADER = re.compile(r"^\s*\[\s*([A-Za-z0-9_-]+)\s*\]")
ASSIGNMENT = re.compile(r"^\s*\"?([A-Za-z0-9_-]+)\"?\s*=")


def index_lines(text: str) -> dict[tuple[str | int, ...], int]:
    """Map the paths of tables and keys to line numbers.

    Around multi-line values, keys may be missed or wrongly detected, so the
    index is suitable for messages only.

    :param text: A TOML document.
    :returns: Line numbers from 1, by paths such as ``("team", 0, "weight")``.
    """
    lines = {}
    counts: dict[str, int] = {}
    table: tuple[str | int, ...] = ()
    for line_number, line in enumerate(text.splitlines(), start=1):
        if header := ARRAY_HEADER.match(line):
            name = header[1]
            table = (name, counts.get(name, 0))
            counts[name] = counts.get(name, 0) + 1
            lines[table] = line_number
            lines.setdefault((name,), line_number)
        elif header := TABLE_HEADER.match(line):
            table = (header[1],)
            lines.setdefault(table, line_number)
        elif assignment := ASSIGNMENT.match(line):
            lines.setdefault((*table, assignment[1]), line_number)
    return lines


def find_line(
    lines: dict[tuple[str | int, ...], int], path: Sequence[str | int]
) -> int:
    """Return the line of a key, or else of the innermost known table around it.

    :param lines: The result of :func:`index_lines`.
    :param path: The path of the key.
    :returns: The line number from 1; 0 if no part of the path is known.
    """
    for length in range(len(path), 0, -1):
        if line := lines.get(tuple(path[:length])):
            return line
    return 0
