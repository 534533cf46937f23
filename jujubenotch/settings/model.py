"""The sections of the settings, with their bounds and defaults."""

from typing import Annotated, Literal

from pydantic import (
    AfterValidator,
    BaseModel,
    ConfigDict,
    Field,
    Strict,
    model_validator,
)

from jujubenotch.settings.seeds import MAX_PORT, parse_seed

NAME_PATTERN = r"^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$"
SHA256_PATTERN = r"^[0-9a-f]{64}$"
MIN_BODY_BYTES = 1024
MAX_BODY_BYTES = 1 << 30
MIN_HEADER_BYTES = 1024
MAX_HEADER_BYTES = 1 << 20
MAX_TIMEOUT_S = 86_400.0
MAX_CONNECTIONS = 1_000_000


def _check_seed(text):
    parse_seed(text)
    return text


Name = Annotated[str, Field(pattern=NAME_PATTERN)]
Host = Annotated[str, Field(min_length=1, pattern=r"^\S+$")]
Port = Annotated[int, Field(ge=0, le=MAX_PORT)]
Timeout = Annotated[float, Field(gt=0, le=MAX_TIMEOUT_S, allow_inf_nan=False)]
Digest = Annotated[str, Field(pattern=SHA256_PATTERN)]
SeedText = Annotated[str, AfterValidator(_check_seed)]
Strings = Annotated[tuple[str, ...], Strict(False)]
Digests = Annotated[tuple[Digest, ...], Strict(False)]
SeedTexts = Annotated[tuple[SeedText, ...], Strict(False)]


class Section(BaseModel):
    """A table of the settings: rejects unknown keys and values of another type."""

    model_config = ConfigDict(frozen=True, extra="forbid", strict=True)


class InstanceSettings(Section):
    """The identity of the instance."""

    name: Name = Field(
        description="a unique name of at most 63 letters, digits, '.', '_' and '-'"
    )
    data_centre: Name = Field(
        description="the name of its data centre: at most 63 letters, digits, '.', "
        "'_' and '-'"
    )
    advertised_host: Host = Field(
        "127.0.0.1",
        description="the host name or IP address that peers use to connect to it",
    )


class TlsSettings(Section):
    """The TLS files of a listener."""

    certificate: str = Field(
        min_length=1, description="a PEM file with the certificate and its chain"
    )
    key: str = Field(min_length=1, description="a PEM file with the private key")
    ca: str = Field(
        "",
        description="a PEM file of certificate authorities; if given, each client "
        "must present a certificate signed by one of them",
    )


class MutualTlsSettings(TlsSettings):
    """The TLS files for mutual TLS between peers."""

    ca: str = Field(
        min_length=1,
        description="a PEM file of the authorities that sign the peers' certificates",
    )


class CallersSettings(Section):
    """The callers' HTTP listener."""

    host: Host = Field("127.0.0.1", description="the address to listen on")
    port: Port = Field(8080, description="a TCP port, 0 to 65535; 0 takes a free one")
    max_body_bytes: int = Field(
        4_194_304,
        ge=MIN_BODY_BYTES,
        le=MAX_BODY_BYTES,
        description=f"the size limit of a request body, {MIN_BODY_BYTES} to "
        f"{MAX_BODY_BYTES} bytes",
    )
    max_header_bytes: int = Field(
        16_384,
        ge=MIN_HEADER_BYTES,
        le=MAX_HEADER_BYTES,
        description=f"the size limit of the request headers, {MIN_HEADER_BYTES} to "
        f"{MAX_HEADER_BYTES} bytes",
    )
    header_timeout_s: Timeout = Field(
        10.0, description="seconds for the request headers to arrive, above 0"
    )
    body_timeout_s: Timeout = Field(
        30.0, description="seconds for the request body to arrive, above 0"
    )
    idle_timeout_s: Timeout = Field(
        75.0, description="seconds that a connection may stay idle, above 0"
    )
    max_connections: int = Field(
        10_000,
        ge=1,
        le=MAX_CONNECTIONS,
        description=f"the limit of open connections, 1 to {MAX_CONNECTIONS}",
    )
    tls: TlsSettings | None = Field(None, description="a table [callers.tls]")


class OperatorsSettings(Section):
    """The operators' HTTP listener."""

    host: Host = Field("127.0.0.1", description="the address to listen on")
    port: Port = Field(8081, description="a TCP port, 0 to 65535; 0 takes a free one")
    key_sha256: Digests = Field(
        (),
        description="a list of SHA-256 digests of operators' keys, each 64 lower-case "
        "hexadecimal digits; with an empty list every operator is refused",
    )
    metrics_need_key: bool = Field(
        False,
        description="true or false: whether /metrics requires an operator's key",
    )
    tls: TlsSettings | None = Field(None, description="a table [operators.tls]")


class PeersSettings(Section):
    """The listener for other instances."""

    host: Host = Field("127.0.0.1", description="the address to listen on")
    port: Port = Field(8082, description="a TCP port, 0 to 65535; 0 takes a free one")
    seeds: SeedTexts = Field(
        (), description='a list of peers to try first, "name@data_centre@host:port"'
    )
    tls: MutualTlsSettings | None = Field(None, description="a table [peers.tls]")


class PlatformSettings(Section):
    """The connection to the platform."""

    kind: Literal["embedded", "http"] = Field(
        "embedded",
        description='"embedded" (in memory, one instance) or "http"',
    )
    url: str = Field("", description="http:// or https:// and the host, for kind http")
    timeout_s: Timeout = Field(
        2.0, description="the timeout of a call to the platform in seconds, above 0"
    )
    records: Strings = Field(
        (), description="a list of TOML files with records, for kind embedded"
    )

    @model_validator(mode="after")
    def _check_kind(self):
        has_url = self.url.startswith(("http://", "https://"))
        if self.kind == "http" and not has_url:
            raise ValueError(
                "kind http needs a url; set url to http:// or https:// and the host"
            )
        if self.kind == "http" and self.records:
            raise ValueError(
                "records can be set only for kind embedded; remove them and "
                "use jujubenotch apply"
            )
        if self.kind == "embedded" and self.url:
            raise ValueError(
                "url can be set only for kind http; remove it or set kind to http"
            )
        return self


class LogsSettings(Section):
    """The logs on standard error."""

    format: Literal["key-value", "json"] = Field(
        "key-value", description='"key-value" or "json"'
    )
    level: Literal["DEBUG", "INFO", "WARNING", "ERROR", "CRITICAL"] = Field(
        "INFO", description='"DEBUG", "INFO", "WARNING", "ERROR" or "CRITICAL"'
    )


class ShutdownSettings(Section):
    """The graceful shutdown."""

    max_wait_s: float = Field(
        0.0,
        ge=0,
        le=MAX_TIMEOUT_S,
        allow_inf_nan=False,
        description="seconds to wait for requests in progress, 0 to 86400; 0 waits "
        "until the last one ends",
    )


class UpstreamsSettings(Section):
    """The connections to upstreams."""

    connect_timeout_s: Timeout = Field(
        1.0, description="seconds to open a connection, above 0"
    )
    idle_timeout_s: Timeout = Field(
        2.0, description="seconds between two chunks of a stream, above 0"
    )
    answer_timeout_s: Timeout = Field(
        60.0,
        description="seconds to wait for data of a response that is not streamed, "
        "above 0",
    )
    keepalive_s: int = Field(
        5,
        ge=1,
        le=3600,
        description="seconds between TCP keepalive probes, a whole number, 1 to 3600",
    )
    tcp_user_timeout_s: Timeout = Field(
        10.0, description="seconds that sent data may stay unacknowledged, above 0"
    )


class CapacitySettings(Section):
    """How the instances of a data centre share the capacity of its upstreams."""

    division: Literal["home", "independent"] = Field(
        "home",
        description='"home" (one instance grants the slots of each group of '
        'upstreams) or "independent" (each instance decides from its own counts and '
        "the load reports; a baseline for measurements)",
    )


class InvariantsSettings(Section):
    """The invariants that the program checks while it runs."""

    fatal: bool = Field(
        False, description="true or false: whether a violation ends the process"
    )


class Settings(Section):
    """All settings of one daemon.

    >>> Settings(instance={"name": "a", "data_centre": "north"}).callers.port
    8080
    """

    instance: InstanceSettings = Field(description="a table [instance]")
    callers: CallersSettings = Field(
        default_factory=CallersSettings, description="a table [callers]"
    )
    operators: OperatorsSettings = Field(
        default_factory=OperatorsSettings, description="a table [operators]"
    )
    peers: PeersSettings = Field(
        default_factory=PeersSettings, description="a table [peers]"
    )
    platform: PlatformSettings = Field(
        default_factory=PlatformSettings, description="a table [platform]"
    )
    logs: LogsSettings = Field(
        default_factory=LogsSettings, description="a table [logs]"
    )
    shutdown: ShutdownSettings = Field(
        default_factory=ShutdownSettings, description="a table [shutdown]"
    )
    upstreams: UpstreamsSettings = Field(
        default_factory=UpstreamsSettings, description="a table [upstreams]"
    )
    capacity: CapacitySettings = Field(
        default_factory=CapacitySettings, description="a table [capacity]"
    )
    invariants: InvariantsSettings = Field(
        default_factory=InvariantsSettings, description="a table [invariants]"
    )
