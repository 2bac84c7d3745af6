"""Tests of a store that writes an earlier answer again.

Its answers bear no id. A copy of a transaction's answer that is taken for that
of a later one lets two hosts hold a lease; a copy of another answer lets a
host miss changes or drop entries.
"""

import asyncio
from collections.abc import Awaitable, Callable

import pytest
from kumquat_platform.store import PlatformStore

from kumquat_relay.protocols import (
    Changes,
    StateKind,
    StoreError,
    WriteConflictError,
)

from .fakes import FakeEngine, FakeStore
from .stutter import Copy, CopyTime, Exchange, StutteringProxy

Scenario = Callable[[FakeStore, PlatformStore, StutteringProxy], Awaitable[None]]


def run_with_store(scenario: Scenario, time: CopyTime) -> None:
    """Run a scenario with a store that copies each of its answers."""

    async def run() -> None:
        fake = FakeStore()
        await fake.start()
        proxy = StutteringProxy(
            fake.address, lambda exchange: Copy(exchange.answer, time, 0.002)
        )
        await proxy.start()
        store = PlatformStore(proxy.address)
        try:
            await scenario(fake, store, proxy)
        finally:
            await store.close()
            await proxy.stop()
            await fake.stop()

    asyncio.run(run())


async def changes_after(
    store: PlatformStore, kind: StateKind, changes: Changes
) -> Changes:
    """Poll until an answer is accepted, as a watch does."""
    while True:
        try:
            return await store.wait_for_changes(kind, changes.version, 0.0)
        except StoreError:
            await asyncio.sleep(0)


@pytest.mark.parametrize("time", CopyTime)
def test_a_lease_that_another_host_holds_is_not_acquired(time: CopyTime) -> None:
    """The answer to an earlier transaction was taken for that to the lease."""

    async def scenario(
        fake: FakeStore, store: PlatformStore, proxy: StutteringProxy
    ) -> None:
        for number in range(10):
            name = f"lease{number}"
            version = await store.acquire_lease(name, "h1", 10, 0)
            row = fake.rows["relay_leases", name]
            assert version.number == row["ver"]
            with pytest.raises(WriteConflictError):
                await store.acquire_lease(name, "h2", 10, 0)
            state = await store.read_lease(name)
            assert (state.holder, state.version) == ("h1", row["ver"])

    run_with_store(scenario, time)


@pytest.mark.parametrize("time", CopyTime)
def test_no_change_is_missed_and_no_entry_dropped(time: CopyTime) -> None:
    """The version of another table's answer let a watch skip changes."""

    async def scenario(
        fake: FakeStore, store: PlatformStore, proxy: StutteringProxy
    ) -> None:
        engines = [FakeEngine(f"e{number}") for number in range(12)]
        for engine in engines:
            fake.put("servers", engine.id, engine.entry("service"))
        seen = await store.read(StateKind.ENGINES)
        hosts = await store.read(StateKind.HOSTS)
        assert len(seen.items) == 12
        for _ in range(3):
            for engine in engines:
                fake.put("servers", engine.id, engine.entry("service"))
                written = fake.version
                hosts = await changes_after(store, StateKind.HOSTS, hosts)
                found: dict[str, int] = {}
                for _ in range(4):
                    seen = await changes_after(store, StateKind.ENGINES, seen)
                    found |= {item.key: item.version.number for item in seen.items}
                    if engine.id in found:
                        break
                assert found == {engine.id: written}
            snapshot = await store.read(StateKind.ENGINES)
            assert len(snapshot.items) == 12
        assert proxy.copies > 20 or time not in (CopyTime.AT_ONCE, CopyTime.IDLE)

    run_with_store(scenario, time)


@pytest.mark.parametrize("time", CopyTime)
def test_rows_of_an_earlier_poll_are_not_taken_for_changes(time: CopyTime) -> None:
    """An older copy would restore the entry of a host that was removed."""

    async def scenario(
        fake: FakeStore, store: PlatformStore, proxy: StutteringProxy
    ) -> None:
        version = (await store.read(StateKind.ENGINES)).version
        for number in range(20):
            fake.put("servers", f"e{number}", FakeEngine("e").entry("service"))
            try:
                changes = await store.wait_for_changes(StateKind.ENGINES, version, 0.0)
            except StoreError:
                continue
            assert all(item.version > version for item in changes.items)
            version = max(version, changes.version)

    run_with_store(scenario, time)


@pytest.mark.parametrize("time", [CopyTime.AFTER_REQUEST, CopyTime.BEFORE_NEXT])
def test_one_copy_spoils_one_poll_only(time: CopyTime) -> None:
    """Each poll after a copy got the answer to the poll before it."""

    async def scenario(
        fake: FakeStore, store: PlatformStore, proxy: StutteringProxy
    ) -> None:
        copies = [time]

        def copy_once(exchange: Exchange) -> Copy | None:
            return Copy(exchange.answer, copies.pop()) if copies else None

        version = (await store.read(StateKind.ENGINES)).version
        proxy.plan, failures, connections = copy_once, 0, proxy.connections
        loop, engine = asyncio.get_running_loop(), FakeEngine("e")
        for number in range(12):
            key = f"e{number}"
            # The store holds each poll until there is a change.
            loop.call_later(0.02, fake.put, "servers", key, engine.entry("service"))
            while True:
                try:
                    changes = await store.wait_for_changes(
                        StateKind.ENGINES, version, 2.0
                    )
                    break
                except StoreError:
                    failures += 1
            assert [item.key for item in changes.items] == [key]
            version = changes.version
        assert not copies
        assert failures == 1
        assert proxy.connections <= connections + 2

    run_with_store(scenario, time)
