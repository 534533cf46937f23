"""Loads and validates a settings file."""

import itertools
import tomllib
from pathlib import Path

from pydantic import ValidationError

from jujubenotch.settings.errors import SettingsError, describe_validation_error
from jujubenotch.settings.model import Settings
from jujubenotch.settings.tls import make_server_context

LISTENERS = ("callers", "operators", "peers")
WILDCARD_HOSTS = frozenset({"0.0.0.0", "::", "*"})
TLS_FILES = ("certificate", "key", "ca")


def load_settings(path: str | Path) -> Settings:
    """Load a settings file and validate all of it.

    File names in the settings are relative to the directory of the settings file
    and are returned as absolute paths.

    :param path: The path of the TOML file.
    :returns: The settings.
    :raises SettingsError: The file can't be read or is invalid; the error has one
        line for each problem.
    """
    path = Path(path)
    document = _read_document(path)
    settings = _validate_document(path, document)
    settings = _resolve_files(settings, path.resolve().parent)
    lines = [
        *_find_port_conflicts(path, settings),
        *_find_missing_files(path, settings),
    ]
    if not lines:
        lines = list(_find_invalid_certificates(path, settings))
    if lines:
        raise SettingsError(lines=lines)
    return settings


def _read_document(path):
    try:
        return tomllib.loads(path.read_bytes().decode())
    except OSError as error:
        reason = error.strerror or type(error).__name__
        line = f"{path}: can't be read: {reason}; name a readable TOML file"
    except UnicodeDecodeError as error:
        line = f"{path}: byte {error.start} is not UTF-8; save the file as UTF-8"
    except tomllib.TOMLDecodeError as error:
        line = f"{path}: not TOML: {error}; mend the syntax there"
    raise SettingsError(lines=[line])


def _validate_document(path, document):
    try:
        return Settings.model_validate(document)
    except ValidationError as error:
        lines = [
            describe_validation_error(str(path), detail, Settings)
            for detail in error.errors(include_url=False)
        ]
    raise SettingsError(lines=lines)


def _resolve_files(settings, directory):
    records = tuple(str(directory / name) for name in settings.platform.records)
    platform = settings.platform.model_copy(update={"records": records})
    sections = {"platform": platform}
    for listener in LISTENERS:
        section = getattr(settings, listener)
        if section.tls is None:
            continue
        files = {
            field: str(directory / getattr(section.tls, field))
            for field in TLS_FILES
            if getattr(section.tls, field)
        }
        tls = section.tls.model_copy(update=files)
        sections[listener] = section.model_copy(update={"tls": tls})
    return settings.model_copy(update=sections)


def _find_port_conflicts(path, settings):
    for first, second in itertools.combinations(LISTENERS, 2):
        one, other = getattr(settings, first), getattr(settings, second)
        if one.port == 0 or one.port != other.port:
            continue
        hosts = {one.host, other.host}
        if len(hosts) == 1 or hosts & WILDCARD_HOSTS:
            yield (
                f"{path}: {second}.port = {other.port}: the same as {first}.port on "
                f"the same address; give each listener its own port, or 0"
            )


def _find_missing_files(path, settings):
    for key, name in _list_files(settings):
        if not Path(name).is_file():
            yield f"{path}: {key} = {name!r}: no such file; name a readable file"


def _find_invalid_certificates(path, settings):
    for listener in LISTENERS:
        tls = getattr(settings, listener).tls
        if tls is None:
            continue
        try:
            make_server_context(tls)
        except SettingsError as error:
            yield from (f"{path}: {listener}.tls.{line}" for line in error.lines)


def _list_files(settings):
    for index, name in enumerate(settings.platform.records):
        yield f"platform.records.{index}", name
    for listener in LISTENERS:
        tls = getattr(settings, listener).tls
        for field in TLS_FILES if tls else ():
            if name := getattr(tls, field):
                yield f"{listener}.tls.{field}", name
