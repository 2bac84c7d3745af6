"""Follows one kind of state in the store.

A watch reads everything once and then waits for changes in long polls. An
error or a silent connection ends a poll; the next one follows after a short
delay that grows while the store is away. Lost history makes it read again.
"""

import asyncio
import logging
import random
from collections.abc import Callable
from typing import ClassVar

from kumquat_core.log_events import log_event
from kumquatrouter.supervisor import TaskService

from .beliefs import Beliefs
from .protocols import HistoryLostError, StateKind, StateStore, StoreError

__all__ = ["StateWatch", "WatchTimes"]

# Delay after a failed call; it doubles up to a bound that leaves several tries
# within the time in which a host must be up to date again (3 s).
FIRST_DELAY_S = 0.1
# Large deployments have looser bounds, and their polls use more of the store's
# rate, so each one waits longer by the factor.
MANY_HOSTS = 30
MANY_HOSTS_FACTOR = 1.4
MAX_DELAY_S = 0.6

logger = logging.getLogger(__name__)


class WatchTimes:
    """How long one poll of each kind may wait, in seconds.

    Calls are priced and a change ends a poll at once, so polls are long. The
    configuration is polled in shorter turns: its bound is the tightest, and a
    connection that fell silent shows only when a poll does not end.
    """

    BY_KIND: ClassVar[dict[StateKind, float]] = {
        StateKind.CONFIGURATION: 2.0,
        StateKind.ENGINES: 2.0,
        StateKind.HOSTS: 15.0,
    }
    # Many hosts or engines enter the lists within a second; one answer tells
    # of them all. Work must leave a leaving engine within two seconds, of
    # which the pause takes a tenth.
    PAUSE_BY_KIND: ClassVar[dict[StateKind, float]] = {
        StateKind.CONFIGURATION: 0.0,
        StateKind.ENGINES: 0.2,
        StateKind.HOSTS: 1.5,
    }


class StateWatch(TaskService):
    """Keeps the beliefs of one kind up to date."""

    def __init__(
        self,
        kind: StateKind,
        store: StateStore,
        beliefs: Beliefs,
        rng: random.Random,
        count_call: Callable[[str, bool], None] = lambda kind, good: None,
    ) -> None:
        super().__init__()
        self._kind = kind
        self._store = store
        self._beliefs = beliefs
        self._rng = rng
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
                await asyncio.sleep(self._delay_s())

    async def _turn(self) -> None:
        if self._version is None:
            snapshot = await self._store.read(self._kind)
            self._note_return()
            self._beliefs.take_snapshot(self._kind, snapshot)
            self._version = snapshot.version
            return
        # The first call after a failure tells at once that the store is back.
        wait_s = 0.0 if self._away else self._wait_s()
        changes = await self._store.wait_for_changes(self._kind, self._version, wait_s)
        self._note_return()
        self._beliefs.take_changes(self._kind, changes)
        self._version = max(self._version, changes.version)
        if changes.items:
            await asyncio.sleep(WatchTimes.PAUSE_BY_KIND[self._kind])

    def _wait_s(self) -> float:
        """Return how long a poll waits; many hosts share the store's rate."""
        wait_s = WatchTimes.BY_KIND[self._kind]
        if len(self._beliefs.hosts_by_id) > MANY_HOSTS:
            wait_s *= MANY_HOSTS_FACTOR
        return wait_s

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
