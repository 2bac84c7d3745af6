"""The right to give orders to engines, held by one host at a time.

Not all engines compare fencing numbers, so two hosts must not even take
turns within the time the platform calls a lease. A host writes the lease
under the version it has read; the new version is the fence of its orders. It
uses a lease for ``USE_S`` after the write began and then writes it again. A
host that takes the lease from another one waits until the other's use has
ended and a whole lease time has passed. The lease states the end of its use on
the store's steady clock, so one that has been idle that long is used at once.
The local clock counts suspension, so a host that was frozen finds its lease
over.
"""

import logging

from kumquat_core.clock import Clock
from kumquat_core.log_events import log_event

from .protocols import LeaseState, StateStore, WriteConflictError

__all__ = ["OrderLease"]

# A lease serves for one order and its retry, in seconds.
USE_S = 1.0
# Orders travel and clocks of hosts drift within this time, in seconds.
MARGIN_S = 0.6

logger = logging.getLogger(__name__)


class OrderLease:
    """One named lease in the store."""

    def __init__(
        self,
        name: str,
        holder: str,
        store: StateStore,
        lease_s: float,
        clock: Clock,
    ) -> None:
        self._name = name
        self._holder = holder
        self._store = store
        self._lease_s = lease_s
        self._clock = clock
        self._usable_from_s = float("inf")
        self._usable_until_s = float("-inf")
        self.fence = 0

    def usable(self) -> bool:
        """Tell whether an order may be given now."""
        return self._usable_from_s <= self._clock.monotonic() < self._usable_until_s

    async def acquire(self) -> bool:
        """Write the lease; return whether an order may be given now.

        Raises ``StoreError``. False means that another host's use must end
        first, or that another host was faster.
        """
        if self._waits():
            return False
        read_began_s = self._clock.monotonic()
        state = await self._store.read_lease(self._name)
        began_s = self._clock.monotonic()
        # The answer's time is not before the call began, so this is not
        # earlier on the store's clock than the end of the use here.
        use_s = began_s - read_began_s + USE_S
        used_until_ms = state.store_ms + int(use_s * 1000) + 1
        if state.used_until_ms is not None:
            used_until_ms = max(used_until_ms, state.used_until_ms)
        try:
            fence = await self._store.take_lease(
                self._name, self._holder, used_until_ms, state.version
            )
        except WriteConflictError:
            self._usable_until_s = float("-inf")
            log_event(logger, "lease_lost", lease=self._name, version=state.version)
            return False
        self.fence = fence
        if state.holder != self._holder or self._usable_from_s == float("inf"):
            wait_s = self._remaining_s(state)
            self._note_taken(state.holder, wait_s)
            if wait_s > 0:
                return False
        self._usable_until_s = began_s + USE_S
        return self.usable()

    def _waits(self) -> bool:
        now_s = self._clock.monotonic()
        return now_s < self._usable_from_s < float("inf")

    def _remaining_s(self, state: LeaseState) -> float:
        """Return how long another host's use and the time after it may last.

        An earlier process of this host counts as another one, since it may
        have been waiting itself. The lease is written again after the wait,
        which shows whether it was taken meanwhile.
        """
        if state.version == 0:
            return 0.0
        longest_s = USE_S + self._lease_s + MARGIN_S
        if state.used_until_ms is None:
            return longest_s
        left_s = (state.used_until_ms - state.store_ms) / 1000
        left_s += self._lease_s + MARGIN_S
        # The bound holds for a store whose clock began anew.
        return min(longest_s, max(0.0, left_s))

    def _note_taken(self, previous: str, wait_s: float) -> None:
        self._usable_from_s = self._clock.monotonic() + wait_s
        self._usable_until_s = float("-inf")
        log_event(
            logger,
            "lease_taken",
            lease=self._name,
            previous=previous or None,
            fence=self.fence,
            wait_s=round(wait_s, 2),
        )
