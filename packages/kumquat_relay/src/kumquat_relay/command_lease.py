"""The lease under which one host at a time sends role commands to engines.

Not all engines compare fencing tokens, so two hosts must not even alternate
within the lease time that the platform defines. A host writes the lease
conditionally on the version it has read; the new version is the fencing token
of its commands. It uses the lease for ``USE_PERIOD_S`` after the write began
and then writes it again. A host that takes over the lease waits until the use
by the previous holder has ended and a whole lease time has passed. The lease
states the end of its use on the store's monotonic clock, so a lease that has
been idle for that long is used at once. The local clock includes the time in
which a host is suspended, so a host that was suspended finds its lease
expired.

A lease is worth nothing once the store has come back from an older copy. What
the store has then may be older than the use by its last holder, so nobody uses
a lease for the longest time that a takeover can take.
"""

import logging

from kumquat_core.clock import Clock
from kumquat_core.log_events import log_event

from .protocols import LeaseState, StateStore, WriteConflictError
from .store_version import FIRST_ERA

__all__ = ["CommandLease"]

# Long enough for one command and its retry, in seconds.
USE_PERIOD_S = 1.0
# Upper limit of the latency of commands and the drift of host clocks, in
# seconds.
CLOCK_MARGIN_S = 0.6

logger = logging.getLogger(__name__)


class CommandLease:
    """One named lease in the store.

    ``fence`` is the fencing token of the last successful write.
    """

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
        self._era: int | None = None
        self._not_before_s = float("-inf")

    def usable(self) -> bool:
        """Return whether a command may be sent now."""
        return self._usable_from_s <= self._clock.monotonic() < self._usable_until_s

    def start_era(self, era: int) -> None:
        """Give up the lease, since the store has come back from a copy."""
        self._era = era
        self._not_before_s = self._clock.monotonic() + self._longest_wait_s()
        self._usable_from_s, self._usable_until_s = float("inf"), float("-inf")
        log_event(logger, "lease_void", lease=self._name, era=era)

    async def acquire(self) -> bool:
        """Write the lease; return whether a command may be sent now.

        Returns false if the use by another host has to end first, or if
        another host wrote the lease concurrently. Raises ``StoreError``.
        """
        if self._is_waiting():
            return False
        read_began_s = self._clock.monotonic()
        state = await self._store.read_lease(self._name)
        if not self._observe_era(state.era):
            return False
        write_began_s = self._clock.monotonic()
        # The store's time in the response is not before the start of the
        # call, so on the store's clock this is not before the end of the use
        # here.
        use_s = write_began_s - read_began_s + USE_PERIOD_S
        used_until_ms = state.store_ms + int(use_s * 1000) + 1
        if state.used_until_ms is not None:
            used_until_ms = max(used_until_ms, state.used_until_ms)
        try:
            version = await self._store.acquire_lease(
                self._name, self._holder, used_until_ms, state.version
            )
        except WriteConflictError:
            self._usable_until_s = float("-inf")
            log_event(logger, "lease_lost", lease=self._name, version=state.version)
            return False
        if not self._observe_era(version.era) or version.era != state.era:
            # The condition compared versions of two eras.
            return False
        self.fence = version.fence
        if state.holder != self._holder or self._usable_from_s == float("inf"):
            wait_s = self._takeover_wait_s(state)
            self._record_takeover(state.holder, wait_s)
            if wait_s > 0:
                return False
        self._usable_until_s = write_began_s + USE_PERIOD_S
        return self.usable()

    def _observe_era(self, era: int) -> bool:
        """Return whether an answer is of the newest era that is known.

        A host that starts in a later era does not know when it began.
        """
        if self._era is None:
            self._era = FIRST_ERA
        if era > self._era:
            self.start_era(era)
        return era == self._era or self._era == FIRST_ERA

    def _longest_wait_s(self) -> float:
        """Return how long after its last use a lease may bind others."""
        return USE_PERIOD_S + self._lease_s + CLOCK_MARGIN_S

    def _is_waiting(self) -> bool:
        """Return whether the use by the previous holder may still last."""
        now_s = self._clock.monotonic()
        return now_s < self._usable_from_s < float("inf")

    def _takeover_wait_s(self, state: LeaseState) -> float:
        """Return the time to wait after taking over a lease.

        It covers the use by the previous holder and the lease time after it.
        A previous process of this host counts as another host, since it may
        have been waiting itself. The lease is written again after the wait,
        which shows whether another host has taken it meanwhile.
        """
        earliest_s = max(0.0, self._not_before_s - self._clock.monotonic())
        if state.version == 0:
            return earliest_s
        longest_s = self._longest_wait_s()
        if state.used_until_ms is None:
            return longest_s
        left_s = (state.used_until_ms - state.store_ms) / 1000
        left_s += self._lease_s + CLOCK_MARGIN_S
        # The upper limit applies if the store's clock was reset.
        return min(longest_s, max(earliest_s, left_s))

    def _record_takeover(self, previous: str, wait_s: float) -> None:
        """Delay the use of a lease that another process held."""
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
