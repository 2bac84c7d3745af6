"""Guards against sending requests to engines that refuse connections."""

import asyncio

from kumquat_core.clock import ManualClock, SystemClock
from kumquat_core.settings import Address
from kumquat_relay.engine_health import EngineHealth, Failure
from kumquat_relay.engine_pool import EnginePool
from kumquat_relay.engine_probe import EngineProbe
from kumquat_relay.engine_registry import EngineEntry, EngineRegistry, EngineRole
from kumquat_relay.store_version import StoreVersion

from .builders import SERVICE, QueueHarness, granted, refused, run_request


def test_no_prompt_is_prefilled_for_a_crashed_decode_engine() -> None:
    """Twelve prompts were prefilled although the only decode engine refused
    connections."""
    world = QueueHarness()
    world.health.record_failure("d0", Failure.UNREACHABLE)
    world.clock.advance(1.0)
    assert refused(world.add(run_request("a"))) == {"a": "no_engine"}
    world.health.mark_reachable("d0")
    assert granted(world.add(run_request("b"))) == ["b"]


def test_an_avoided_engine_is_used_if_it_is_the_only_one() -> None:
    world = QueueHarness()
    for _ in range(3):
        world.health.record_failure("d0", Failure.BROKEN)
    assert granted(world.add(run_request("a"))) == ["a"]


def test_the_only_prefill_engine_is_used_again_after_a_failure() -> None:
    """A request failed for good when a prefill response was lost."""
    world = QueueHarness()
    request = run_request("a")
    retry = type(request)(**{**request.__dict__, "excluded": ("p0",)})
    assert granted(world.add(retry)) == ["a"]


def test_an_unreachable_engine_is_reachable_after_a_success() -> None:
    health = EngineHealth(ManualClock())
    health.record_failure("d0", Failure.UNREACHABLE)
    assert health.is_unreachable("d0")
    health.record_success("d0")
    assert not health.is_unreachable("d0")


class ProbeHarness:
    """An engine probe with one engine on a loopback address."""

    def __init__(self) -> None:
        self.clock = SystemClock()
        self.health = EngineHealth(self.clock)
        self.registry = EngineRegistry()
        self.pool = EnginePool(self.clock)
        self.connected_count = 0
        self.probe = EngineProbe(
            self.pool, self.health, self.registry, self._record_connected
        )

    def _record_connected(self) -> None:
        self.connected_count += 1

    def register_engine(self, port: int) -> None:
        address = Address("127.0.0.1", port)
        entry = EngineEntry("d0", SERVICE, address, "a", 12, False, EngineRole.DECODE)
        self.registry.put(entry, StoreVersion(1, 1))


async def _accept(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    try:
        await reader.read()
    finally:
        writer.close()


def test_the_probe_detects_an_engine_that_accepts_connections_again() -> None:
    asyncio.run(_probe_until_connected())


async def _probe_until_connected() -> None:
    world = ProbeHarness()
    server = await asyncio.start_server(_accept, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    server.close()
    await server.wait_closed()
    world.register_engine(port)
    world.health.record_failure("d0", Failure.UNREACHABLE)
    world.probe.start("d0")
    world.probe.start("d0")
    await asyncio.sleep(0.1)
    assert world.health.is_unreachable("d0")
    server = await asyncio.start_server(_accept, "127.0.0.1", port)
    try:
        async with asyncio.timeout(2.0):
            while world.health.is_unreachable("d0"):
                await asyncio.sleep(0.02)
        assert world.connected_count == 1
        assert world.pool.opened <= 5
        opened = world.pool.opened
        connection = await world.pool.acquire(
            Address("127.0.0.1", port), recently_used=True, timeout_s=1.0
        )
        assert world.pool.opened == opened
        connection.abort()
    finally:
        server.close()


def test_the_probe_ends_when_the_entry_of_the_engine_is_removed() -> None:
    asyncio.run(_probe_until_removed())


async def _probe_until_removed() -> None:
    world = ProbeHarness()
    world.register_engine(1)
    world.health.record_failure("d0", Failure.UNREACHABLE)
    world.probe.start("d0")
    await asyncio.sleep(0.05)
    world.registry.remove("d0", StoreVersion(1, 2), world.clock.monotonic())
    await asyncio.sleep(0.4)
    opened = world.pool.opened
    await asyncio.sleep(0.4)
    assert world.pool.opened == opened
