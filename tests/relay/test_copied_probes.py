"""Tests of probes of engines that write an answer to nobody.

A probe asks nothing, so bytes on its connection only show that a process
listens there.
"""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any, cast

import pytest

from kumquat_core.clock import ManualClock, SystemClock
from kumquat_core.settings import Address
from kumquat_relay.crash_observer import CrashObserver
from kumquat_relay.engine_health import EngineHealth, Failure
from kumquat_relay.engine_pool import EnginePool
from kumquat_relay.engine_probe import EngineProbe
from kumquat_relay.engine_registry import EngineEntry, EngineRegistry, EngineRole
from kumquat_relay.store_version import StoreVersion

from .scripted_peer import ScriptedPeer

COPY = b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"


def entry_at(address: Address) -> EngineEntry:
    return EngineEntry("e", "service", address, "a", 1, False, EngineRole.DECODE)


async def write_copy(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    writer.write(COPY)
    await reader.read()


async def close_at_once(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    writer.close()


@pytest.mark.parametrize(
    ("script", "outcome"), [(write_copy, "connected"), (close_at_once, "closed")]
)
def test_an_engine_that_writes_a_copy_has_not_crashed(
    script: Callable[..., Awaitable[None]], outcome: str
) -> None:
    """It was reported as crashed, and prompts could be quarantined for it."""

    async def run() -> None:
        pool = EnginePool(SystemClock())
        absent = cast(Any, None)
        observer = CrashObserver("h", SystemClock(), pool, *[absent] * 4)
        async with ScriptedPeer(script) as peer:
            assert await observer._probe(entry_at(peer.address)) == outcome

    asyncio.run(run())


def test_a_copy_on_the_connection_of_a_probe_answers_no_request() -> None:
    """The connection of a probe goes into the pool for the next request."""

    async def run() -> None:
        pool, health = EnginePool(ManualClock()), EngineHealth(ManualClock())
        registry = EngineRegistry()
        health.record_failure("e", Failure.UNREACHABLE)
        async with ScriptedPeer(write_copy) as peer:
            registry.put(entry_at(peer.address), StoreVersion(1, 1))
            probe = EngineProbe(pool, health, registry)
            probe.start("e")
            async with asyncio.timeout(2.0):
                while health.is_unreachable("e"):
                    await asyncio.sleep(0.001)
                (idle,) = pool._idle_by_address[peer.address]
                while idle.usable:
                    await asyncio.sleep(0.001)
            other = await pool.acquire(peer.address, recently_used=True, timeout_s=1.0)
            assert other is not idle
            other.abort()
            probe.close()

    asyncio.run(run())
