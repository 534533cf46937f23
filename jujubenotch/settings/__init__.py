"""The daemon's settings, loaded from a TOML file and validated.

Invalid settings raise ``SettingsError``. The tests are in ``features/settings``.
"""

from jujubenotch.settings.errors import SettingsError
from jujubenotch.settings.forwarder import Address, CloudSettings, ForwarderSettings
from jujubenotch.settings.load import load_settings
from jujubenotch.settings.model import (
    CallersSettings,
    CapacitySettings,
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
from jujubenotch.settings.tls import (
    PeerContexts,
    make_peer_contexts,
    make_server_context,
)

__all__ = [
    "Address",
    "CloudSettings",
    "CallersSettings",
    "CapacitySettings",
    "ForwarderSettings",
    "InstanceSettings",
    "InvariantsSettings",
    "LogsSettings",
    "MutualTlsSettings",
    "OperatorsSettings",
    "PeerContexts",
    "PeersSettings",
    "PlatformSettings",
    "Seed",
    "Settings",
    "SettingsError",
    "ShutdownSettings",
    "TlsSettings",
    "UpstreamsSettings",
    "load_settings",
    "make_peer_contexts",
    "make_server_context",
    "parse_seed",
]
