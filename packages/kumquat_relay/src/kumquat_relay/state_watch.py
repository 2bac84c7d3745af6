"""Follows one kind of state in the store.

A watch reads everything once and then waits for changes in long polls. An
error or a silent connection ends a poll; the next one follows after a short
delay that grows while the store is away, or when another watch of this host
has reached it. Lost history makes it read again.
"""

import asyncio
import logging
import random
from collections.abc import Callable

from kumquat_core.log_events import log_event
from kumquatrouter.supervisor import TaskService

from .beliefs import Beliefs
from .poll_times import PollTimes
from .protocols import (
    Changes,
    HistoryLostError,
    StateKind,
    StateStore,
    StoreError,
)
from .store_reach import StoreReach

__all__ = ["StateWatch"]

# Delay after a failed call; it doubles up to a bound that leaves several tries
# within the time in which a host must be up to date again (3 s).
FIRST_DELAY_S = 0.1
MAX_DELAY_S = 0.6
# A change that others have reaches this host within this time, unless the
# connection of its poll has fallen silent.
BEHIND_S = 0.5

logger = logging.getLogger(__name__)


class StateWatch(TaskService):
    """Keeps the beliefs of one kind up to date."""

    def __init__(
        self,
        kind: StateKind,
        store: StateStore,
        beliefs: Beliefs,
        rng: random.Random,
        times: PollTimes,
        reach: StoreReach,
        count_call: Callable[[str, bool], None] = lambda kind, good: None,
    ) -> None:
        super().__init__()
        self._kind = kind
        self._store = store
        self._beliefs = beliefs
        self._rng = rng
        self._times = times
        self._reach = reach
        self._behind = asyncio.Event()
        self._count_call = count_call
        self._away = False
        self._version: int | None = None
        self._failures = 0

    async def run(self) -> None:
        """Follow the state until cancelled."""
        while True:
            try:
                await self._turn()
                self._reached()
            except HistoryLostError:
                log_event(
                    logger,
                    "store_history_lost",
                    kind=self._kind.value,
                    after=self._version,
                )
                self._version = None
            except StoreError as error:
                self._lost(str(error))
                await self._reach.wait(self._kind, self._delay_s())

    async def _turn(self) -> None:
        if self._version is None:
            snapshot = await self._store.read(self._kind)
            self._note_return()
            self._beliefs.take_snapshot(self._kind, snapshot)
            self._version = snapshot.version
            return
        # The first call after a failure tells at once that the store is back.
        wait_s = 0.0 if self._away else self._times.wait_s(self._kind)
        changes = await self._poll(self._version, wait_s)
        self._note_return()
        self._beliefs.take_changes(self._kind, changes)
        self._version = max(self._version, changes.version)
        if changes.items:
            await asyncio.sleep(self._times.pause_s(self._kind))

    def note_behind(self, is_behind: Callable[[], bool]) -> None:
        """Poll anew if ``is_behind`` still holds after a moment.

        Others have a change that this host has not seen.
        """

        def renew() -> None:
            if is_behind():
                self._behind.set()

        asyncio.get_running_loop().call_later(BEHIND_S, renew)

    async def _poll(self, version: int, wait_s: float) -> Changes:
        """Wait for changes, on a new connection when others have some."""
        self._behind.clear()
        poll = asyncio.ensure_future(
            self._store.wait_for_changes(self._kind, version, wait_s)
        )
        behind = asyncio.ensure_future(self._behind.wait())
        try:
            await asyncio.wait({poll, behind}, return_when=asyncio.FIRST_COMPLETED)
            if poll.done():
                return poll.result()
        finally:
            behind.cancel()
            poll.cancel()
        log_event(logger, "poll_renewed", kind=self._kind.value, version=version)
        return await self._store.wait_for_changes(self._kind, version, 0.0)

    def _note_return(self) -> None:
        """Let entries that lapsed with the store come back.

        Only the engines' own watch tells when these are followed again; the
        others may end their polls many seconds later.
        """
        if self._away and self._kind is StateKind.ENGINES:
            self._beliefs.store_returned()

    def _delay_s(self) -> float:
        bound_s = min(MAX_DELAY_S, FIRST_DELAY_S * 2.0 ** min(self._failures - 1, 8))
        return bound_s * self._rng.uniform(0.6, 1.0)

    def _lost(self, reason: str) -> None:
        self._failures += 1
        self._count_call(self._kind.value, False)
        if not self._away:
            self._away = True
            log_event(
                logger,
                "dependency_lost",
                level=logging.WARNING,
                dependency="store",
                kind=self._kind.value,
                version=self._version,
                reason=reason,
            )

    def _reached(self) -> None:
        self._count_call(self._kind.value, True)
        self._reach.reached()
        if self._kind is StateKind.ENGINES:
            self._beliefs.engines_followed()
        if self._away:
            self._away = False
            log_event(
                logger,
                "dependency_regained",
                dependency="store",
                kind=self._kind.value,
                version=self._version,
                failures=self._failures,
            )
        self._failures = 0
