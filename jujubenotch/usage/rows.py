"""Encodes the rows that keep what was decided about windows."""

import zlib
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Annotated

import orjson
from pydantic import BaseModel, ConfigDict, Field, ValidationError

FIRST_KEY = "usage-first"
WINDOW_PREFIX = "usage-"
# The store's limit on a value is 65,536 bytes.
MAX_ROW_BYTES = 60_000
MAX_TEXT_BYTES = 1 << 21

Number = Annotated[int, Field(ge=0)]


class UsageRowError(Exception):
    """A row doesn't hold what was decided about a window."""


class _WindowDocument(BaseModel):
    model_config = ConfigDict(extra="ignore", strict=True)

    era: Number
    window: Number
    counts: dict[str, Number]


class _FirstDocument(BaseModel):
    model_config = ConfigDict(extra="ignore", strict=True)

    era: Number
    window: Number


@dataclass(frozen=True, kw_only=True)
class FirstWindow:
    """The first window that may still be decided in an era of the store."""

    era: int
    window: int


def name_window_row(window: int) -> str:
    """Return the key of the row of a window.

    :param window: The window's number.
    """
    return f"{WINDOW_PREFIX}{window}"


def read_window_key(key: str) -> int | None:
    """Return the window of a row; ``None`` for another row.

    :param key: The key of the row.
    """
    number = key.removeprefix(WINDOW_PREFIX)
    is_window = key != number and number.isascii() and number.isdigit()
    return int(number) if is_window else None


def encode_window(era: int, window: int, counts: Mapping[str, int]) -> bytes | None:
    """Encode the counts of a window; the same counts give the same bytes.

    :param era: The era of the store in which they are decided.
    :param window: The window's number.
    :param counts: The requests that began, by team.
    :returns: The value of the row; ``None`` when it is too large.
    """
    document = {"era": era, "window": window, "counts": dict(counts)}
    content = zlib.compress(orjson.dumps(document, option=orjson.OPT_SORT_KEYS))
    return content if len(content) <= MAX_ROW_BYTES else None


def decode_window(content: bytes) -> tuple[int, dict[str, int]]:
    """Decode the row of a window.

    :param content: The value of the row.
    :returns: The era in which it was decided, and the counts.
    :raises UsageRowError: The value is invalid.
    """
    try:
        decompressor = zlib.decompressobj()
        text = decompressor.decompress(content, MAX_TEXT_BYTES)
        document = _WindowDocument.model_validate(orjson.loads(text))
    except (ValidationError, ValueError, zlib.error) as error:
        raise UsageRowError(f"the row of a window is invalid: {error}") from error
    return document.era, document.counts


def encode_first(first: FirstWindow) -> bytes:
    """Encode the row of the first window that may still be decided.

    :param first: The window, with the era.
    """
    return orjson.dumps({"era": first.era, "window": first.window})


def decode_first(content: bytes) -> FirstWindow:
    """Decode the row of the first window that may still be decided.

    :param content: The value of the row.
    :raises UsageRowError: The value is invalid.
    """
    try:
        document = _FirstDocument.model_validate(orjson.loads(content))
    except (ValidationError, ValueError) as error:
        raise UsageRowError(f"the first window's row is invalid: {error}") from error
    return FirstWindow(era=document.era, window=document.window)
