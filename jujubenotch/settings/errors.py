"""The error for invalid settings, and the format of its messages."""

import difflib
from collections.abc import Mapping, Sequence

from pydantic import BaseModel

SECRET_WORDS = ("key", "password", "secret", "token")
MAX_SHOWN_CHARACTERS = 80


class SettingsError(Exception):
    """The settings can't be read or are invalid.

    :param lines: The messages, one line for each error found.

    >>> str(SettingsError(lines=["a.toml: callers.port = -1: too small"]))
    'a.toml: callers.port = -1: too small'
    """

    def __init__(self, *, lines: Sequence[str]):
        super().__init__("\n".join(lines))
        self.lines = tuple(lines)


def describe_validation_error(path: str, error: Mapping, model: type[BaseModel]) -> str:
    """Format one validation error of pydantic.

    :param path: The path of the settings file.
    :param error: One entry of ``ValidationError.errors()``.
    :param model: The model that the whole file was validated against.
    :returns: One line with the file, the key, the value, the bound and a remedy.
    """
    location = error["loc"]
    key = ".".join(str(part) for part in location)
    section, field = _find_field(model, location)
    if error["type"] == "missing":
        remedy = _describe_field(field)
        return f"{path}: {key} is missing; add it: {remedy}"
    value = format_value(key, error["input"])
    if error["type"] == "extra_forbidden":
        remedy = _suggest_key(section, str(location[-1]))
        return f"{path}: {key} = {value}: unknown key; {remedy}"
    bound = _describe_bound(error)
    if isinstance(error["input"], dict):
        return f"{path}: {key} = {value}: {bound}"
    return f"{path}: {key} = {value}: {bound}; give {_describe_field(field)}"


def format_value(key: str, value: object) -> str:
    """Format a value for a message, or hide it if its key suggests a secret.

    :param key: The dotted key.
    :param value: The value from the settings file.
    :returns: The value on one line, truncated to ``MAX_SHOWN_CHARACTERS``.
    """
    name = key.rsplit(".", 1)[-1] if not key[-1:].isdigit() else key
    if any(word in name for word in SECRET_WORDS):
        return "(hidden)"
    if isinstance(value, dict):
        return "(table)"
    text = repr(value)
    if len(text) > MAX_SHOWN_CHARACTERS:
        return text[:MAX_SHOWN_CHARACTERS] + "..."
    return text


def _describe_bound(error):
    message = error["msg"]
    if message.startswith("Value error, "):
        return message.removeprefix("Value error, ")
    return message[:1].lower() + message[1:]


def _describe_field(field):
    if field is None or not field.description:
        return "a valid value; see docs/SETTINGS.md"
    return field.description.rstrip(".")


def _suggest_key(section, name):
    known = sorted(section.model_fields) if section else []
    close_matches = difflib.get_close_matches(name, known, n=1, cutoff=0.5)
    if close_matches:
        return f"did you mean {close_matches[0]!r}?"
    return f"remove it or use one of these keys: {', '.join(known)}"


def _find_field(model, location):
    section, field = model, None
    for part in location:
        if section is None or part not in section.model_fields:
            return section, field
        field = section.model_fields[part]
        inner = _find_model(field.annotation)
        if inner is None:
            return section, field
        section = inner
    return section, field


def _find_model(annotation):
    candidates = getattr(annotation, "__args__", ()) or (annotation,)
    for candidate in candidates:
        if isinstance(candidate, type) and issubclass(candidate, BaseModel):
            return candidate
    return None
