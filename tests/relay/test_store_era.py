"""Tests of a store that comes back from an older copy.

What was written since the copy is gone, versions go back and are given out
again, and positions of hosts in the store may be passed by new versions.
"""

import asyncio
from typing import Any

from kumquat_platform.store import HOST_TABLE, LEASE_TABLE, PEER_KEY, SECRET_TABLE

from .relay_harness import RelayHarness, configuration, run_scenario

# In force within this time after a change, and rows written again.
APPLY_S = 2.0


def with_route(version: int, name: str) -> dict[str, Any]:
    """Return a configuration with one more route."""
    document = configuration(version)
    route = {**document["routes"][0], "name": name, "prefix": f"/{name}/"}
    return document | {"routes": [*document["routes"], route]}


def pass_position(harness: RelayHarness, writes: int = 30) -> None:
    """Let the versions of the store rise again, by rows of other tables."""
    for number in range(writes):
        harness.store.put("others", f"k{number}", {})


async def wait_for_version(harness: RelayHarness, version: int) -> None:
    await harness.wait_until(
        lambda: all(
            host._parts.cluster_state.version == version for host in harness.hosts
        )
    )


async def wait_for_rows(harness: RelayHarness, table: str, count: int) -> None:
    await harness.wait_until(
        lambda: sum(key[0] == table for key in harness.store.rows) == count
    )


def test_change_below_the_position_of_a_host_is_applied() -> None:
    """The store's versions have passed the position, so no read gets 410."""

    async def scenario(harness: RelayHarness) -> None:
        copy = harness.store.copy()
        harness.store.put("op", "config", with_route(4, "first"))
        await wait_for_version(harness, 4)
        harness.store.restore(copy)
        harness.store.put("op", "config", with_route(6, "second"))
        pass_position(harness)
        async with asyncio.timeout(APPLY_S):
            await wait_for_version(harness, 6)
        assert await harness.request_status("second") == 200

    run_scenario(scenario, 2)


def test_confirmed_configuration_stays_while_an_older_one_is_back() -> None:
    async def scenario(harness: RelayHarness) -> None:
        copy = harness.store.copy()
        harness.store.put("op", "config", with_route(4, "first"))
        await wait_for_version(harness, 4)
        harness.store.restore(copy)
        for _ in range(20):
            assert await harness.request_status("first") == 200
            await asyncio.sleep(0.05)
        harness.store.put("op", "config", configuration(3, routes="none"))
        harness.store.put("op", "config", {"version": 9})
        await asyncio.sleep(0.5)
        assert await harness.request_status("first") == 200

    run_scenario(scenario)


def test_rows_of_hosts_that_are_gone_are_written_again() -> None:
    """A host that starts later could reach none of the others."""

    async def scenario(harness: RelayHarness) -> None:
        await wait_for_rows(harness, HOST_TABLE, 3)
        copy = harness.store.copy()
        rows = {k: v for k, v in copy.rows.items() if k[0] not in OWN_TABLES}
        key = harness.store.rows[SECRET_TABLE, PEER_KEY]["value"]
        harness.store.written.clear()
        harness.store.restore(type(copy)(rows, [], copy.version))
        pass_position(harness)
        await wait_for_rows(harness, HOST_TABLE, 3)
        await wait_for_rows(harness, SECRET_TABLE, 1)
        assert harness.store.rows[SECRET_TABLE, PEER_KEY]["value"] == key
        await asyncio.sleep(1.0)
        for host in harness.hosts:
            writes = harness.store.written.count((HOST_TABLE, host._options.host_id))
            assert writes == 1

    run_scenario(scenario, 3)


OWN_TABLES = (HOST_TABLE, SECRET_TABLE, LEASE_TABLE)


def test_leaving_engine_gets_nothing_when_its_older_row_is_back() -> None:
    async def scenario(harness: RelayHarness) -> None:
        copy = harness.store.copy()
        leaving, gone = harness.backend_servers
        harness.list_engine(leaving, "draining")
        await asyncio.sleep(0.3)
        await harness.request_status()
        leaving.received.clear()
        harness.store.restore(copy)
        pass_position(harness)
        for _ in range(20):
            await harness.request_status()
            await asyncio.sleep(0.05)
        assert not leaving.received
        assert gone.received

    run_scenario(scenario)


def test_removed_engine_gets_nothing_when_its_older_row_is_back() -> None:
    async def scenario(harness: RelayHarness) -> None:
        copy = harness.store.copy()
        gone = harness.backend_servers[0]
        harness.store.remove("servers", gone.id)
        await asyncio.sleep(0.3)
        await harness.request_status()
        gone.received.clear()
        harness.store.restore(copy)
        pass_position(harness)
        for _ in range(20):
            await harness.request_status()
            await asyncio.sleep(0.05)
        assert not gone.received
        # An engine that was only cut off from the store writes again.
        harness.list_engine(gone)
        await asyncio.sleep(0.3)
        for _ in range(20):
            await harness.request_status()
        assert gone.received

    run_scenario(scenario)


def test_new_engine_gets_requests_whatever_the_version_of_its_row() -> None:
    async def scenario(harness: RelayHarness) -> None:
        copy = harness.store.copy()
        new = harness.backend_servers[0]
        harness.store.remove("servers", new.id)
        pass_position(harness)
        await asyncio.sleep(0.3)
        harness.store.restore(copy)
        new.born_ms += 1000
        harness.list_engine(new)
        await asyncio.sleep(0.5)
        for _ in range(20):
            await harness.request_status()
        assert new.received

    run_scenario(scenario)
