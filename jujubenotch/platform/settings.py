"""Reads the platform's settings file and converts it to the forwarder's settings."""

import os
from pathlib import Path

from pydantic import ValidationError

from jujubenotch.leases import Duty
from jujubenotch.platform.errors import PlatformSettingsError
from jujubenotch.platform.units import MS_PER_S
from jujubenotch.settings.forwarder import Address, CloudSettings, ForwarderSettings

FILE_VARIABLE = "JUJUBENOTCH_NODE_FILE"
DEFAULT_FILE = "/etc/jujubenotch/settings.conf"
METRICS_PORT = 9464
DEFAULT_CHANGE_DELAY_MS = 2000.0
DEFAULT_MEMORY_MB = 300.0
DEFAULT_DESCRIPTORS = 4100.0
DATA_CENTRE_PREFIX = "zones."


def find_settings_file() -> str:
    """Return the path of the settings file.

    :returns: The path that the environment variable names, or the default path.
    """
    return os.environ.get(FILE_VARIABLE) or DEFAULT_FILE


def load_platform_settings(path: str) -> ForwarderSettings:
    """Read and validate the settings file.

    :param path: The path of a file with lines ``name=value``; unknown names are
        ignored.
    :returns: The settings.
    :raises PlatformSettingsError: The file cannot be read, or a value is missing
        or invalid.
    """
    try:
        text = Path(path).read_text()
    except (OSError, UnicodeDecodeError) as error:
        raise PlatformSettingsError(
            f"{path}: cannot read the settings file: {error}"
        ) from error
    fields = dict(_read_lines(text))
    try:
        return _convert(fields)
    except KeyError as error:
        raise PlatformSettingsError(
            f"{path}: required setting {error.args[0]} is missing"
        ) from error
    except ValidationError as error:
        first = error.errors(include_url=False)[0]
        name = ".".join(str(part) for part in first["loc"])
        raise PlatformSettingsError(f"{path}: {name}: {first['msg']}") from error
    except ValueError as error:
        raise PlatformSettingsError(f"{path}: {error}") from error


def _read_lines(text):
    for line in text.splitlines():
        name, separator, value = line.partition("=")
        if separator:
            yield name.strip(), value.strip()


def _convert(fields):
    callers = _read_address(fields, "listen.frontend")
    return ForwarderSettings(
        name=fields["node-name"],
        data_centre=fields["zone"],
        data_centres=_read_data_centres(fields),
        callers=callers,
        readiness=_read_address(fields, "listen.ready"),
        metrics=Address(host=callers.host, port=METRICS_PORT),
        store=_read_address(fields, "platform.address"),
        max_key_age_s=_read_key_age_s(fields),
        grace_s=_read_number(fields, "bounds.grace-s", 8.0),
        neighbours=_read_neighbour_address(fields, callers.host),
        max_change_delay_s=min(
            _read_number(fields, f"bounds.{name}", DEFAULT_CHANGE_DELAY_MS) / MS_PER_S
            for name in ("config-ms", "drain-ms")
        ),
        retry_ratio=_read_number(fields, "bounds.retry-ratio", 0.1),
        retry_extra=_read_number(fields, "bounds.retry-extra", 50.0),
        retry_window_s=_read_number(fields, "bounds.retry-window-s", 10.0),
        memory_mb=_read_limit(fields, "limits.memory-mb", DEFAULT_MEMORY_MB),
        max_descriptors=int(_read_limit(fields, "limits.max-fds", DEFAULT_DESCRIPTORS)),
        cloud=_read_cloud(fields),
    )


def _read_limit(fields, name, default):
    """Return a limit of the process; an empty value or 0 states none."""
    if not fields.get(name):
        return default
    return _read_number(fields, name, 0.0) or default


def _read_cloud(fields):
    """Return how the platform's API is called; ``None`` when nothing calls it."""
    if not fields.get("cloud.address"):
        return None
    duties = _read_duties(fields)
    if not duties:
        return None
    return CloudSettings(
        address=_read_address(fields, "cloud.address"),
        duties=duties,
        calls_per_s=_read_number(fields, "cloud.duty-per-s", 10.0),
        is_fenced=fields.get("bounds.fencing-enforced") == "true",
        lease_s=_read_number(fields, "bounds.lease-ms", 3000.0) / MS_PER_S,
        thaw_s=_read_number(fields, "bounds.thaw-ms", 300.0) / MS_PER_S,
        report_window_s=_read_number(fields, "bounds.report-window-s", 5.0),
        usage_late_s=_read_number(fields, "bounds.usage-late-s", 10.0),
        usage_tolerance=_read_number(fields, "bounds.usage-tolerance", 0.05),
    )


def _read_duties(fields):
    """Return the listed duties that are known and not switched off by themselves."""
    listed = {name.strip() for name in fields.get("cloud.duties", "").split(",")}
    return tuple(
        duty.value
        for duty in Duty
        if duty.value in listed and fields.get(f"cloud.{duty.value}") != "false"
    )


def _read_data_centres(fields):
    names = (name for name in fields if name.startswith(DATA_CENTRE_PREFIX))
    return tuple(name.removeprefix(DATA_CENTRE_PREFIX) for name in names)


def _read_neighbour_address(fields, host):
    first_port = fields.get("port-range", "").partition(",")[0]
    return Address(host=host, port=int(first_port)) if first_port.isdigit() else None


def _read_key_age_s(fields):
    if fields.get("bounds.fail-closed") != "true":
        return 0.0
    return _read_number(fields, "bounds.revoke-ms", 5000.0) / MS_PER_S


def _read_address(fields, name):
    host, _, port = fields[name].rpartition(":")
    if not host or not port.isdigit():
        raise ValueError(f"{name}: {fields[name]!r} is not of the form host:port")
    return Address(host=host, port=int(port))


def _read_number(fields, name, default):
    try:
        return float(fields.get(name, default))
    except ValueError:
        raise ValueError(f"{name}: {fields[name]!r} is not a number") from None
