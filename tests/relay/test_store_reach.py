"""Guards against hosts that try a store that is away with all their watches.

Hosts of a large fleet made most of their calls to the store while it refused
them (days with a store that turns hosts away).
"""

import asyncio
import random
from collections import Counter

from kumquat_core.clock import ManualClock
from kumquat_relay import state_watch
from kumquat_relay.beliefs import Beliefs
from kumquat_relay.engine_health import EngineHealth
from kumquat_relay.poll_times import PollTimes
from kumquat_relay.protocols import Changes, StateKind, StoreError
from kumquat_relay.state_watch import StateWatch
from kumquat_relay.store_reach import StoreReach

REFUSED_CALLS = 60


class RefusingStore:
    """Refuses a number of calls; then polls last until they are cancelled."""

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
        return Changes(1, ())

    async def wait_for_changes(
        self, kind: StateKind, after: int, wait_s: float
    ) -> Changes:
        await asyncio.sleep(3600)
        raise AssertionError


def test_one_watch_tries_for_all(monkeypatch) -> None:
    monkeypatch.setattr(state_watch, "MAX_DELAY_S", 0.0)

    async def run() -> RefusingStore:
        store = RefusingStore()
        clock = ManualClock(100.0)
        beliefs = Beliefs(clock, EngineHealth(clock))
        times = PollTimes(3.0, lambda: True, lambda: False)
        reach = StoreReach()
        watches = [
            StateWatch(kind, store, beliefs, random.Random(1), times, reach)
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
    trying = max(calls.values())
    # Each of the others fails once and reads once.
    assert calls.total() - trying <= 2 * (len(StateKind) - 1)
