"""Guards against orders of two hosts within one lease time."""

import asyncio

from kumquat_relay.order_lease import OrderLease
from kumquat_relay.protocols import LeaseState, WriteConflictError


class LeaseStore:
    """The lease part of a store, with a clock of its own."""

    def __init__(self) -> None:
        self.holder, self.version = "", 0
        self.used_until_ms: int | None = None
        self.now_s = 5000.0

    async def read_lease(self, name: str) -> LeaseState:
        store_ms = int(self.now_s * 1000)
        return LeaseState(self.holder, self.version, self.used_until_ms, store_ms)

    async def take_lease(
        self, name: str, holder: str, used_until_ms: int, expected: int
    ) -> int:
        if expected != self.version:
            raise WriteConflictError
        self.holder, self.version = holder, self.version + 1
        self.used_until_ms = used_until_ms
        return self.version


class LeaseWorld:
    def __init__(self) -> None:
        self.store = LeaseStore()
        self._began_s = self.store.now_s

    @property
    def now_s(self) -> float:
        return self.store.now_s - self._began_s

    @now_s.setter
    def now_s(self, value: float) -> None:
        self.store.now_s = self._began_s + value

    def lease(self, holder: str) -> OrderLease:
        return OrderLease("l", holder, self.store, 3.0, self)  # type: ignore[arg-type]

    def monotonic(self) -> float:
        """Return the local time, as a clock."""
        return self.now_s

    def wall_ms(self) -> int:
        """Return the local time in milliseconds, as a clock."""
        return int(self.now_s * 1000)


def test_holders_take_no_turns_within_a_lease() -> None:
    world = LeaseWorld()
    first, second = world.lease("a"), world.lease("b")
    assert asyncio.run(first.acquire())
    last_use_s = 1.0
    world.now_s = 0.5
    assert not asyncio.run(second.acquire())
    assert first.usable()
    world.now_s = last_use_s
    assert not first.usable()
    while not asyncio.run(second.acquire()):
        world.now_s += 0.1
    assert world.now_s >= last_use_s + 3.0


def test_a_holder_that_was_frozen_finds_its_lease_over() -> None:
    world = LeaseWorld()
    first, second = world.lease("a"), world.lease("b")
    asyncio.run(first.acquire())
    asyncio.run(second.acquire())
    world.now_s = 6.0
    assert asyncio.run(second.acquire())
    world.now_s = 10.0
    assert not first.usable()
    assert not asyncio.run(first.acquire())
    world.now_s = 10.7
    assert asyncio.run(first.acquire())


def test_a_lease_that_was_taken_during_the_wait_is_not_used() -> None:
    world = LeaseWorld()
    first, second, third = (world.lease(name) for name in "abc")
    asyncio.run(first.acquire())
    asyncio.run(second.acquire())
    world.now_s = 2.0
    asyncio.run(third.acquire())
    world.now_s = 5.0
    assert not asyncio.run(second.acquire())


def test_a_waiting_holder_writes_nothing() -> None:
    """Two hosts took the lease from each other twice a second."""
    world = LeaseWorld()
    asyncio.run(world.lease("a").acquire())
    second = world.lease("b")
    asyncio.run(second.acquire())
    version = world.store.version
    world.now_s = 1.0
    assert not asyncio.run(second.acquire())
    assert world.store.version == version


def test_an_idle_lease_is_used_at_once() -> None:
    """A new owner waited 4.6 s for the lease of a stopped host (inc-6113)."""
    world = LeaseWorld()
    asyncio.run(world.lease("a").acquire())
    world.now_s = 4.7
    assert asyncio.run(world.lease("b").acquire())


def test_a_lease_waits_only_for_what_is_left_of_the_last_use() -> None:
    world = LeaseWorld()
    asyncio.run(world.lease("a").acquire())
    world.now_s = 3.0
    second = world.lease("b")
    assert not asyncio.run(second.acquire())
    world.now_s = 4.7
    assert asyncio.run(second.acquire())


def test_a_lease_with_an_unknown_end_waits_the_longest() -> None:
    world = LeaseWorld()
    asyncio.run(world.lease("a").acquire())
    world.store.used_until_ms = None
    world.now_s = 60.0
    second = world.lease("b")
    assert not asyncio.run(second.acquire())
    world.now_s = 64.0
    assert not asyncio.run(second.acquire())
    world.now_s = 64.7
    assert asyncio.run(second.acquire())


def test_a_store_clock_that_began_anew_delays_no_lease_for_long() -> None:
    world = LeaseWorld()
    asyncio.run(world.lease("a").acquire())
    world.store.used_until_ms = 10**9
    second = world.lease("b")
    assert not asyncio.run(second.acquire())
    world.now_s = 4.7
    assert asyncio.run(second.acquire())
