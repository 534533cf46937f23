"""The daemon's checked TOML settings.

Errors: ``SettingsError``. Features: ``features/settings``.
"""

from jujubenotch.settings.errors import SettingsError
from jujubenotch.settings.load import load_settings
from jujubenotch.settings.model import (
    CallersSettings,
    InstanceSettings,
    InvariantsSettings,
    LogsSettings,
    MutualTlsSettings,
    OperatorsSettings,
    PeersSettings,
    PlatformSettings,
    Settings,
    ShutdownSettings,
    TlsSettings,
    UpstreamsSettings,
)
from jujubenotch.settings.seeds import Seed, parse_seed

__all__ = [
    "CallersSettings",
    "InstanceSettings",
    "InvariantsSettings",
    "LogsSettings",
    "MutualTlsSettings",
    "OperatorsSettings",
    "PeersSettings",
    "PlatformSettings",
    "Seed",
    "Settings",
    "SettingsError",
    "ShutdownSettings",
    "TlsSettings",
    "UpstreamsSettings",
    "load_settings",
    "parse_seed",
]
