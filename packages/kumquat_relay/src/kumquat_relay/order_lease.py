"""The right to give orders to engines, held by one host at a time.

Not all engines compare fencing numbers, so two hosts must not even take
turns within the time the platform calls a lease. A host writes the lease
under the version it has read; the new version is the fence of its orders. It
uses a lease for ``USE_S`` after the write began and then writes it again. A
host that takes the lease from another one waits until the other's use has
ended and a whole lease time has passed. All times are measured with the clock
that also counts suspension, so a host that was frozen finds its lease over.
"""

import logging
import time
from collections.abc import Callable

from kumquat_core.log_events import log_event

from .protocols import StateStore, WriteConflictError

__all__ = ["OrderLease"]

# A lease serves for one order and its retry, in seconds.
USE_S = 1.0
# Orders travel and clocks of hosts drift within this time, in seconds.
MARGIN_S = 0.6

logger = logging.getLogger(__name__)


def boot_time_s() -> float:
    """Return seconds of the clock that counts suspension."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class OrderLease:
    """One named lease in the store."""

    def __init__(
        self,
        name: str,
        holder: str,
        store: StateStore,
        lease_s: float,
        now_s: Callable[[], float] = boot_time_s,
    ) -> None:
        self._name = name
        self._holder = holder
        self._store = store
        self._lease_s = lease_s
        self._now_s = now_s
        self._usable_from_s = float("inf")
        self._usable_until_s = float("-inf")
        self.fence = 0

    def usable(self) -> bool:
        """Tell whether an order may be given now."""
        return self._usable_from_s <= self._now_s() < self._usable_until_s

    async def acquire(self) -> bool:
        """Write the lease; return whether an order may be given now.

        Raises ``StoreError``. False means that another host's use must end
        first, or that another host was faster.
        """
        if self._waits():
            return False
        holder, version = await self._store.read_lease(self._name)
        began_s = self._now_s()
        try:
            fence = await self._store.take_lease(self._name, self._holder, version)
        except WriteConflictError:
            self._usable_until_s = float("-inf")
            log_event(logger, "lease_lost", lease=self._name, version=version)
            return False
        self.fence = fence
        if version == 0:
            self._usable_from_s = began_s
        elif holder != self._holder or self._usable_from_s == float("inf"):
            self._wait_for(holder)
            return False
        self._usable_until_s = began_s + USE_S
        return self.usable()

    def _waits(self) -> bool:
        now_s = self._now_s()
        return now_s < self._usable_from_s < float("inf")

    def _wait_for(self, previous: str) -> None:
        """Wait for the end of another host's use.

        An earlier process of this host counts as another one, since it may
        have been waiting itself. The lease is written again after the wait,
        which shows whether it was taken meanwhile.
        """
        wait_s = USE_S + self._lease_s + MARGIN_S
        self._usable_from_s = self._now_s() + wait_s
        self._usable_until_s = float("-inf")
        log_event(
            logger,
            "lease_taken",
            lease=self._name,
            previous=previous,
            fence=self.fence,
            wait_s=wait_s,
        )
