"""Shares the instances' reports of crashed upstreams through the platform's store."""

from dataclasses import dataclass

from jujubenotch.crashes import InstanceReports, decode_reports, encode_reports
from jujubenotch.platform.rows import write_row
from jujubenotch.platform.store import StoreClient, TableSource

CRASH_TABLE = "crashes"


@dataclass(frozen=True, kw_only=True)
class StoreCrashReports:
    """The rows of the instances that have reported crashes: one for each instance.

    :param client: The client of the store.
    """

    client: StoreClient

    async def write(self, instance: str, reports: InstanceReports) -> None:
        """Replace the reports of an instance.

        :param instance: The instance's name.
        :param reports: Its reports.
        :raises SourceError: The store did not confirm the change.
        """
        content = encode_reports(reports)
        await write_row(self.client, CRASH_TABLE, instance, content)


def make_crash_source(client: StoreClient) -> TableSource:
    """Create the source of the crash reports.

    :param client: The client of the store.
    :returns: A source with one item for each instance that has reported crashes.
    """
    return TableSource(
        client=client,
        table=CRASH_TABLE,
        decode=lambda key, content: decode_reports(content),
        accepts=lambda key: True,
    )
