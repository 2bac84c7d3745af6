"""Guards against work for engines that do not accept connections."""

import asyncio

from kumquat_core.clock import ManualClock, SystemClock
from kumquat_core.settings import Address
from kumquat_relay.engine_health import EngineHealth, Failure
from kumquat_relay.engine_pool import EnginePool
from kumquat_relay.engine_probe import EngineProbe
from kumquat_relay.engine_registry import EngineEntry, EngineRegistry, EngineRole

from .builders import SERVICE, QueueWorld, granted, refused, run_request


def test_no_prompt_is_read_for_an_engine_that_crashed() -> None:
    """Twelve prompts were read while the only decode engine refused
    connections (hagestad scale-1)."""
    world = QueueWorld()
    world.health.failed("d0", Failure.UNREACHABLE)
    world.clock.advance(1.0)
    assert refused(world.add(run_request("a"))) == {"a": "no_engine"}
    world.health.reached("d0")
    assert granted(world.add(run_request("b"))) == ["b"]


def test_an_engine_that_fails_is_used_when_it_is_the_only_one() -> None:
    world = QueueWorld()
    for _ in range(3):
        world.health.failed("d0", Failure.BROKEN)
    assert granted(world.add(run_request("a"))) == ["a"]


def test_the_only_reader_is_used_again_after_a_failure() -> None:
    """A lost answer of the reader was the end of the request."""
    world = QueueWorld()
    request = run_request("a")
    again = type(request)(**{**request.__dict__, "excluded": ("p0",)})
    assert granted(world.add(again)) == ["a"]


def test_a_success_ends_unreachability() -> None:
    health = EngineHealth(ManualClock())
    health.failed("d0", Failure.UNREACHABLE)
    assert health.is_unreachable("d0")
    health.succeeded("d0")
    assert not health.is_unreachable("d0")


class ProbeWorld:
    """A probe of one engine on a loopback address."""

    def __init__(self) -> None:
        self.clock = SystemClock()
        self.health = EngineHealth(self.clock)
        self.registry = EngineRegistry()
        self.pool = EnginePool(self.clock)
        self.reached = 0
        self.probe = EngineProbe(self.pool, self.health, self.registry, self._reached)

    def _reached(self) -> None:
        self.reached += 1

    def list_engine(self, port: int) -> None:
        address = Address("127.0.0.1", port)
        entry = EngineEntry("d0", SERVICE, address, "a", 12, False, EngineRole.DECODE)
        self.registry.put(entry, 1)


async def _accept(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    await reader.read()
    writer.close()


def test_an_engine_that_accepts_connections_again_is_used_again() -> None:
    asyncio.run(_reach_again())


async def _reach_again() -> None:
    world = ProbeWorld()
    server = await asyncio.start_server(_accept, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    server.close()
    await server.wait_closed()
    world.list_engine(port)
    world.health.failed("d0", Failure.UNREACHABLE)
    world.probe.begin("d0")
    world.probe.begin("d0")
    await asyncio.sleep(0.1)
    assert world.health.is_unreachable("d0")
    server = await asyncio.start_server(_accept, "127.0.0.1", port)
    try:
        async with asyncio.timeout(2.0):
            while world.health.is_unreachable("d0"):
                await asyncio.sleep(0.02)
        assert world.reached == 1
        assert world.pool.opened <= 5
        opened = world.pool.opened
        connection = await world.pool.take(
            Address("127.0.0.1", port), fresh=True, timeout_s=1.0
        )
        assert world.pool.opened == opened
        connection.abort()
    finally:
        server.close()


def test_the_probe_ends_with_the_entry_of_the_engine() -> None:
    asyncio.run(_probe_until_gone())


async def _probe_until_gone() -> None:
    world = ProbeWorld()
    world.list_engine(1)
    world.health.failed("d0", Failure.UNREACHABLE)
    world.probe.begin("d0")
    await asyncio.sleep(0.05)
    world.registry.remove("d0", 2, world.clock.monotonic())
    await asyncio.sleep(0.4)
    opened = world.pool.opened
    await asyncio.sleep(0.4)
    assert world.pool.opened == opened
