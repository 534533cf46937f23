"""Writes rows of the system's own tables in the platform's store."""

import base64

from jujubenotch.platform.store import StoreClient, call_store


async def write_row(
    client: StoreClient, table: str, key: str, content: bytes, part: str = ""
) -> None:
    """Write a row, whatever it contained before.

    :param client: The client of the store.
    :param table: The table.
    :param key: The row's key.
    :param content: The row's value; the store accepts no empty one.
    :param part: The part of the table.
    :raises SourceError: The store did not confirm the change.
    """
    value = base64.b64encode(content).decode()
    body = {
        "expected-rev": [],
        "writes": [{"table": table, "part": part, "key": key, "value": value}],
        "remove": [],
    }
    await call_store(client, "POST", "/v1/rows-tx", json=body)


async def remove_row(
    client: StoreClient, table: str, key: str, *, part: str = "", revision: int
) -> None:
    """Remove a row, if it was not written again.

    :param client: The client of the store.
    :param table: The table.
    :param key: The row's key.
    :param part: The part of the table.
    :param revision: The revision that the row must have.
    :raises SourceError: The store did not confirm the change.
    """
    row = {"table": table, "part": part, "key": key}
    body = {
        "expected-rev": [{**row, "schema-version": revision}],
        "writes": [],
        "remove": [row],
    }
    await call_store(client, "POST", "/v1/rows-tx", json=body)
