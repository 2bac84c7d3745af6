"""Guards against role commands of two hosts within one lease time."""

import asyncio

from kumquat_relay.command_lease import CommandLease
from kumquat_relay.protocols import LeaseState, WriteConflictError
from kumquat_relay.store_version import StoreVersion


class FakeLeaseStore:
    """The leases of a store, which has its own clock."""

    def __init__(self) -> None:
        self.holder, self.version = "", 0
        self.used_until_ms: int | None = None
        self.now_s = 5000.0
        self.era = 1
        # Come back from a copy between a read and the write that follows it.
        self.restore_before_write = False

    def restore(self) -> None:
        """Come back from a copy without the lease."""
        self.holder, self.version, self.used_until_ms = "", 0, None
        self.era += 1

    async def read_lease(self, name: str) -> LeaseState:
        store_ms = int(self.now_s * 1000)
        return LeaseState(
            self.holder, self.version, self.used_until_ms, store_ms, self.era
        )

    async def acquire_lease(
        self, name: str, holder: str, used_until_ms: int, expected: int
    ) -> StoreVersion:
        if self.restore_before_write:
            self.restore()
        if expected != self.version:
            raise WriteConflictError
        self.holder, self.version = holder, self.version + 1
        self.used_until_ms = used_until_ms
        return StoreVersion(self.era, self.version)


class LeaseHarness:
    """Leases of several hosts with one store; all clocks advance together."""

    def __init__(self) -> None:
        self.store = FakeLeaseStore()
        self._start_s = self.store.now_s

    @property
    def now_s(self) -> float:
        return self.store.now_s - self._start_s

    @now_s.setter
    def now_s(self, value: float) -> None:
        self.store.now_s = self._start_s + value

    def lease(self, holder: str) -> CommandLease:
        return CommandLease("l", holder, self.store, 3.0, self)  # type: ignore[arg-type]

    def monotonic(self) -> float:
        """Return the local time of the host's clock in seconds."""
        return self.now_s

    def wall_ms(self) -> int:
        """Return the local time of the host's clock in milliseconds."""
        return int(self.now_s * 1000)


def test_second_host_waits_for_use_and_lease_time() -> None:
    harness = LeaseHarness()
    first, second = harness.lease("a"), harness.lease("b")
    assert asyncio.run(first.acquire())
    use_end_s = 1.0
    harness.now_s = 0.5
    assert not asyncio.run(second.acquire())
    assert first.usable()
    harness.now_s = use_end_s
    assert not first.usable()
    while not asyncio.run(second.acquire()):
        harness.now_s += 0.1
    assert harness.now_s >= use_end_s + 3.0


def test_suspended_holder_finds_lease_expired() -> None:
    harness = LeaseHarness()
    first, second = harness.lease("a"), harness.lease("b")
    asyncio.run(first.acquire())
    asyncio.run(second.acquire())
    harness.now_s = 6.0
    assert asyncio.run(second.acquire())
    harness.now_s = 10.0
    assert not first.usable()
    assert not asyncio.run(first.acquire())
    harness.now_s = 10.7
    assert asyncio.run(first.acquire())


def test_lease_taken_over_during_wait_is_not_used() -> None:
    harness = LeaseHarness()
    first, second, third = (harness.lease(name) for name in "abc")
    asyncio.run(first.acquire())
    asyncio.run(second.acquire())
    harness.now_s = 2.0
    asyncio.run(third.acquire())
    harness.now_s = 5.0
    assert not asyncio.run(second.acquire())


def test_waiting_host_does_not_write() -> None:
    """A host must not write the lease again during its wait.

    Otherwise two hosts take the lease from each other twice a second.
    """
    harness = LeaseHarness()
    asyncio.run(harness.lease("a").acquire())
    second = harness.lease("b")
    asyncio.run(second.acquire())
    version = harness.store.version
    harness.now_s = 1.0
    assert not asyncio.run(second.acquire())
    assert harness.store.version == version


def test_idle_lease_is_used_at_once() -> None:
    """A new owner must not wait 4.6 s for the idle lease of a stopped host."""
    harness = LeaseHarness()
    asyncio.run(harness.lease("a").acquire())
    harness.now_s = 4.7
    assert asyncio.run(harness.lease("b").acquire())


def test_takeover_waits_only_for_remaining_time() -> None:
    harness = LeaseHarness()
    asyncio.run(harness.lease("a").acquire())
    harness.now_s = 3.0
    second = harness.lease("b")
    assert not asyncio.run(second.acquire())
    harness.now_s = 4.7
    assert asyncio.run(second.acquire())


def test_lease_without_end_waits_maximum_time() -> None:
    harness = LeaseHarness()
    asyncio.run(harness.lease("a").acquire())
    harness.store.used_until_ms = None
    harness.now_s = 60.0
    second = harness.lease("b")
    assert not asyncio.run(second.acquire())
    harness.now_s = 64.0
    assert not asyncio.run(second.acquire())
    harness.now_s = 64.7
    assert asyncio.run(second.acquire())


def test_reset_store_clock_does_not_extend_wait() -> None:
    harness = LeaseHarness()
    asyncio.run(harness.lease("a").acquire())
    harness.store.used_until_ms = 10**9
    second = harness.lease("b")
    assert not asyncio.run(second.acquire())
    harness.now_s = 4.7
    assert asyncio.run(second.acquire())
