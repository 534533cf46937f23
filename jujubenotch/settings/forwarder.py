"""The settings of an instance that forwards by host and path."""

from typing import Annotated

from pydantic import BaseModel, ConfigDict, Field, PositiveFloat

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
    :param retry_ratio: The number of retries allowed per request, over all
        instances together.
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
    log_level: str = "INFO"

    @property
    def all_data_centres(self) -> tuple[str, ...]:
        """The names of all data centres that are known."""
        return self.data_centres or (self.data_centre,)
