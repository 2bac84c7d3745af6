"""Tests of a store that comes back from an older copy.

What was written since the copy is gone, versions go back and are given out
again, and positions of hosts in the store may be passed by new versions.
"""

import asyncio
from dataclasses import replace
from typing import Any

import pytest
from aiohttp import web
from kumquat_platform.rows import HOST_TABLE
from kumquat_platform.store import LEASE_TABLE, PEER_KEY, SECRET_TABLE

from kumquat_core.clock import ManualClock
from kumquat_core.settings import Address
from kumquat_relay.cluster_state import ClusterState
from kumquat_relay.command_lease import USE_PERIOD_S
from kumquat_relay.engine_health import EngineHealth
from kumquat_relay.engine_registry import EngineRegistry
from kumquat_relay.protocols import Change, Changes, HostEntry, StateKind
from kumquat_relay.store_version import StoreVersion

from .builders import engine
from .relay_harness import RelayHarness, configuration, run_scenario
from .test_command_lease import LeaseHarness

# Bound of the platform on the time after which a host that reaches the store
# again is held to all rules.
APPLY_S = 3.0


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


async def wait_for_era(harness: RelayHarness) -> None:
    """Wait until the hosts have read the engines of the current era."""
    await harness.wait_until(
        lambda: all(
            host._parts.cluster_state.era == harness.store.era for host in harness.hosts
        )
    )
    await asyncio.sleep(0.3)


async def wait_for_rows(harness: RelayHarness, table: str, count: int) -> None:
    await harness.wait_until(
        lambda: sum(key[0] == table for key in harness.store.rows) == count
    )


@pytest.mark.parametrize("away_s", [0.0, 0.2])
def test_change_below_the_position_of_a_host_is_applied(away_s: float) -> None:
    """The store's versions have passed the position, so no read gets 410."""

    async def scenario(harness: RelayHarness) -> None:
        copy = harness.store.copy()
        harness.store.put("op", "config", with_route(4, "first"))
        await wait_for_version(harness, 4)
        harness.store.restore(copy, away_s)
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
        await wait_for_era(harness)
        harness.list_engine(gone)
        await asyncio.sleep(0.3)
        await asyncio.gather(*(harness.request_status() for _ in range(40)))
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
        await wait_for_era(harness)
        new.born_ms += 1000
        harness.list_engine(new)
        await asyncio.sleep(0.5)
        await asyncio.gather(*(harness.request_status() for _ in range(40)))
        assert new.received

    run_scenario(scenario)


def test_earlier_holder_does_not_use_its_lease_in_a_new_era() -> None:
    """Its row is gone, so another host could take the lease at once."""
    harness = LeaseHarness()
    first, second = harness.lease("a"), harness.lease("b")
    assert asyncio.run(first.acquire())
    fence = first.fence
    harness.store.restore()
    first.start_era(2)
    assert not first.usable()
    began_s = harness.now_s
    while not asyncio.run(second.acquire()):
        harness.now_s += 0.1
    # The first host may not have heard of the new era meanwhile.
    assert harness.now_s - began_s >= USE_PERIOD_S + 3.0
    assert second.fence > fence


def test_lease_written_under_a_condition_of_an_earlier_era_is_not_used() -> None:
    """The version that the condition names may have been given out again."""
    harness = LeaseHarness()
    lease = harness.lease("a")
    harness.store.restore_before_write = True
    assert not asyncio.run(lease.acquire())
    assert not lease.usable()


def test_answer_of_an_earlier_era_changes_nothing() -> None:
    """It was on its way when the store came back."""
    clock = ManualClock(100.0)
    state = ClusterState(clock, EngineHealth(clock))
    assert state.observe_era(1, "engines")
    assert state.observe_era(2, "engines")
    assert not state.observe_era(1, "hosts")
    assert state.era == 2
    assert state.later_era() == 2


def test_versions_of_a_later_era_are_newer() -> None:
    assert StoreVersion(2, 5) > StoreVersion(1, 900)
    assert StoreVersion(2, 5).fence > StoreVersion(1, 900).fence
    assert StoreVersion(1, 6).fence > StoreVersion(1, 5).fence


def test_older_copy_of_an_entry_changes_nothing() -> None:
    registry = EngineRegistry()
    entry = replace(engine("e"), born_ms=1000, heartbeat=9, draining=True)
    registry.put(entry, StoreVersion(1, 40))
    restored = replace(entry, draining=False, heartbeat=3)
    assert not registry.put(restored, StoreVersion(2, 7))
    assert registry.get("e").draining
    # A shutdown does not end within an incarnation.
    registry.put(replace(restored, heartbeat=12), StoreVersion(2, 8))
    assert registry.get("e").draining
    registry.put(replace(restored, born_ms=2000, heartbeat=0), StoreVersion(2, 9))
    assert not registry.get("e").draining


def test_removal_in_a_later_era_is_deferred_until_engines_write_again() -> None:
    clock = ManualClock(100.0)
    state = ClusterState(clock, EngineHealth(clock))
    state.observe_era(1, "engines")
    change = Change("e", StoreVersion(1, 5), engine("e"))
    state.apply_snapshot(StateKind.ENGINES, Changes(StoreVersion(1, 5), (change,)))
    state.observe_era(2, "engines")
    state.apply_snapshot(StateKind.ENGINES, Changes(StoreVersion(2, 3), ()))
    assert state.registry.get("e") is not None
    clock.advance(3.0)
    state.apply_deferred_removals()
    assert state.registry.get("e") is None


def test_hosts_missing_in_a_copy_stay_until_they_can_have_written_again() -> None:
    clock = ManualClock(100.0)
    state = ClusterState(clock, EngineHealth(clock))
    state.observe_era(1, "hosts")
    rows = tuple(
        Change(
            name, StoreVersion(1, 5), HostEntry(name, Address("10.0.0.1", 1), "a", 7)
        )
        for name in ("h1", "h2")
    )
    state.apply_snapshot(StateKind.HOSTS, Changes(StoreVersion(1, 5), rows))
    state.observe_era(2, "hosts")
    state.apply_snapshot(StateKind.HOSTS, Changes(StoreVersion(2, 3), ()))
    again = replace(rows[0], version=StoreVersion(2, 4))
    state.apply_changes(StateKind.HOSTS, Changes(StoreVersion(2, 4), (again,)))
    assert set(state.hosts_by_id) == {"h1", "h2"}
    clock.advance(5.0)
    state.apply_deferred_removals()
    assert set(state.hosts_by_id) == {"h1"}


def test_leaving_host_does_not_write_its_entry_again() -> None:
    async def scenario(harness: RelayHarness) -> None:
        await wait_for_rows(harness, HOST_TABLE, 2)
        copy = harness.store.copy()
        leaving = harness.hosts[1]
        await leaving.drain()
        harness.store.written.clear()
        harness.store.restore(copy)
        await wait_for_era(harness)
        await asyncio.sleep(1.2)
        assert (HOST_TABLE, leaving._options.host_id) not in harness.store.written

    run_scenario(scenario, 2)


def test_answers_of_an_earlier_era_are_not_repeated_without_a_delay() -> None:
    """A store that answers from two copies would be asked without a pause."""

    async def scenario(harness: RelayHarness) -> None:
        calls = 0
        answer = harness.store._answer

        async def count(request: web.BaseRequest) -> web.StreamResponse:
            nonlocal calls
            calls += 1
            return await answer(request)

        harness.store.restore(harness.store.copy())
        await wait_for_era(harness)
        harness.store.era -= 1
        harness.store._answer = count
        await asyncio.sleep(1.5)
        assert calls <= 30

    run_scenario(scenario)


def test_heartbeat_alone_brings_a_removed_engine_back() -> None:
    """It does not change the version of the entry."""
    registry = EngineRegistry()
    entry = replace(engine("e"), born_ms=1000, heartbeat=9)
    registry.put(entry, StoreVersion(1, 40))
    registry.remove("e", StoreVersion(1, 41), now_s=100.0)
    restored = replace(entry, heartbeat=20)
    assert not registry.put(restored, StoreVersion(2, 30))
    assert registry.has_restored()
    assert not registry.put(restored, StoreVersion(2, 30))
    assert registry.put(replace(restored, heartbeat=21), StoreVersion(2, 30))
    assert not registry.has_restored()


def test_host_that_restarts_after_its_clock_went_back_is_listed() -> None:
    """Its incarnation is lower, but its entry is no older copy."""
    clock = ManualClock(100.0)
    state = ClusterState(clock, EngineHealth(clock))
    for number, incarnation in ((5, 7000), (6, 5000)):
        version = StoreVersion(1, number)
        entry = HostEntry("h", Address("10.0.0.1", 1), "a", incarnation)
        change = Change("h", version, entry)
        state.apply_changes(StateKind.HOSTS, Changes(version, (change,)))
    assert state.hosts_by_id["h"].incarnation == 5000
    older = Change("h", StoreVersion(2, 1), replace(entry, incarnation=4000))
    state.apply_changes(StateKind.HOSTS, Changes(StoreVersion(2, 1), (older,)))
    assert state.hosts_by_id["h"].incarnation == 5000
