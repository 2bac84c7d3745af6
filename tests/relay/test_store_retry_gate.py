"""Tests that only one watch of a host retries an unreachable store.

If every watch retried, the hosts of a large fleet would make most of their
calls to the store while it refuses them.
"""

import asyncio
import random
from collections import Counter

from kumquat_core.clock import ManualClock
from kumquat_relay import state_watch
from kumquat_relay.cluster_state import ClusterState
from kumquat_relay.engine_health import EngineHealth
from kumquat_relay.poll_times import PollTimes
from kumquat_relay.protocols import Changes, StateKind, StoreError
from kumquat_relay.state_watch import StateWatch
from kumquat_relay.store_retry_gate import StoreRetryGate
from kumquat_relay.store_version import StoreVersion

REFUSED_CALLS = 60


class RefusingStore:
    """Refuses ``REFUSED_CALLS`` calls, then answers reads; polls never end."""

    def __init__(self) -> None:
        self.calls: Counter[StateKind] = Counter()
        self.read_kinds: set[StateKind] = set()
        self.all_read = asyncio.Event()

    async def read(self, kind: StateKind) -> Changes:
        self.calls[kind] += 1
        await asyncio.sleep(0)
        if self.calls.total() <= REFUSED_CALLS:
            raise StoreError("503")
        self.read_kinds.add(kind)
        if len(self.read_kinds) == len(StateKind):
            self.all_read.set()
        return Changes(StoreVersion(1, 1), ())

    async def wait_for_changes(
        self, kind: StateKind, after: int, wait_s: float
    ) -> Changes:
        await asyncio.sleep(3600)
        raise AssertionError


def test_one_watch_retries_for_all(monkeypatch) -> None:
    monkeypatch.setattr(state_watch, "MAX_DELAY_S", 0.0)

    async def run() -> RefusingStore:
        store = RefusingStore()
        clock = ManualClock(100.0)
        cluster_state = ClusterState(clock, EngineHealth(clock))
        times = PollTimes(3.0, lambda: True, lambda: False)
        retry_gate = StoreRetryGate()
        watches = [
            StateWatch(kind, store, cluster_state, random.Random(1), times, retry_gate)
            for kind in StateKind
        ]
        tasks = [asyncio.ensure_future(watch.run()) for watch in watches]
        async with asyncio.timeout(10):
            await store.all_read.wait()
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        return store

    calls = asyncio.run(run()).calls
    retrying_calls = max(calls.values())
    # Each other watch fails once and reads once.
    assert calls.total() - retrying_calls <= 2 * (len(StateKind) - 1)
