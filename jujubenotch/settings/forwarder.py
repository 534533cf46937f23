"""The settings of an instance that forwards by host and path."""

from typing import Annotated

from pydantic import BaseModel, ConfigDict, Field, PositiveFloat, PositiveInt

Port = Annotated[int, Field(ge=0, le=65535)]


class Address(BaseModel):
    """The address of a listener or of a service.

    >>> Address(host="127.0.0.1", port=80).text
    '127.0.0.1:80'
    """

    model_config = ConfigDict(frozen=True, extra="forbid")

    host: str
    port: Port

    @property
    def text(self) -> str:
        """The address as ``host:port``."""
        return f"{self.host}:{self.port}"


class CloudSettings(BaseModel):
    """How the platform's API is called, which accepts calls of one instance at a time.

    :param address: The address of the API.
    :param duties: The names of the duties that are switched on.
    :param calls_per_s: The calls per second that the API accepts from all instances.
    :param is_fenced: Whether the API refuses lower fencing tokens.
    :param lease_s: The time after which an unchanged lease may be taken over.
    :param thaw_s: The time that a process may take to notice that it was suspended.
    :param report_window_s: The length of a window of usage reports.
    :param usage_late_s: The time after a window's end until which its report is due.
    :param usage_tolerance: The share by which a report may differ from what ran.
    """

    model_config = ConfigDict(frozen=True, extra="forbid")

    address: Address
    duties: tuple[str, ...] = ()
    calls_per_s: PositiveFloat = 10.0
    is_fenced: bool = False
    lease_s: PositiveFloat = 3.0
    thaw_s: float = Field(default=0.3, ge=0)
    report_window_s: PositiveFloat = 5.0
    usage_late_s: PositiveFloat = 10.0
    usage_tolerance: float = Field(default=0.05, ge=0)


class ForwarderSettings(BaseModel):
    """The settings of an instance that forwards by host and path.

    :param name: The name of the instance.
    :param data_centres: The names of all data centres; empty when only that of this
        instance is known.
    :param callers: The address of the callers' listener.
    :param readiness: The address of the listener that reports whether the instance
        accepts requests.
    :param metrics: The address of the metrics listener; ``None`` disables it.
    :param store: The address of the platform's store.
    :param neighbours: The address for datagrams of the other instances in the data
        centre; ``None`` when this instance reads the store for itself.
    :param max_change_delay_s: The time within which a change of the configuration
        or of the list of upstreams must be in force, in seconds.
    :param max_key_age_s: The longest time that an API key may still be accepted
        after its removal, in seconds; 0 means no limit.
    :param grace_s: The longest time that a graceful shutdown may take, in seconds.
    :param retry_ratio: The number of retries allowed per request within a window,
        over all instances together.
    :param retry_extra: The number of retries allowed in each window in addition to
        those, over all instances together.
    :param retry_window_s: The length of these windows, in seconds.
    :param memory_mb: The memory that the process may use, in millions of bytes.
    :param max_descriptors: The descriptors that the process may have open.
    :param cloud: How the platform's API is called; ``None`` switches off all calls
        to it and the lease on them.
    :param log_level: The name of a log level, for instance ``INFO``.
    """

    model_config = ConfigDict(frozen=True, extra="forbid")

    name: str
    data_centre: str
    data_centres: tuple[str, ...] = ()
    callers: Address
    readiness: Address
    metrics: Address | None = None
    store: Address
    neighbours: Address | None = None
    max_change_delay_s: PositiveFloat = 2.0
    max_key_age_s: float = Field(default=0.0, ge=0)
    grace_s: PositiveFloat = 8.0
    retry_ratio: float = Field(default=0.1, ge=0)
    retry_extra: float = Field(default=50.0, ge=0)
    retry_window_s: PositiveFloat = 10.0
    memory_mb: PositiveFloat = 300.0
    max_descriptors: PositiveInt = 4100
    cloud: CloudSettings | None = None
    log_level: str = "INFO"

    @property
    def all_data_centres(self) -> tuple[str, ...]:
        """The names of all data centres that are known."""
        return self.data_centres or (self.data_centre,)
