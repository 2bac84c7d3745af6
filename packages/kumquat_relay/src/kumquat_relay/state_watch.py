"""Watches one kind of state in the store.

A watch reads all objects once and then waits for changes in long polls. An
error or an unresponsive connection ends a poll. The next one follows after a
short delay that grows while the store is unreachable, or once another watch of
this host has reached it. If the store no longer has the history, or has come
back from an older copy, the watch reads all objects again. An answer of an
earlier era of the store is discarded.
"""

import asyncio
import logging
import random
from collections.abc import Callable

from kumquat_core.log_events import log_event
from kumquatrouter.supervisor import TaskService

from .cluster_state import ClusterState
from .poll_times import PollTimes
from .protocols import (
    Changes,
    EarlierAnswerError,
    HistoryLostError,
    OversizedAnswerError,
    StateKind,
    StateStore,
    StoreError,
)
from .store_retry_gate import StoreRetryGate
from .store_version import StoreVersion

__all__ = ["StateWatch"]

# Delay after a failed call. It doubles up to a bound that allows several
# retries within the 3 s in which a host must be up to date again.
INITIAL_DELAY_S = 0.1
MAX_DELAY_S = 0.6
# A change that an owner has reaches this host within this time, unless the
# connection of its poll is unresponsive.
BEHIND_GRACE_S = 0.5
MAX_ERROR_CHARACTERS = 200

logger = logging.getLogger(__name__)


class StateWatch(TaskService):
    """Keeps the cluster state of one kind up to date.

    ``count_call`` is called with the kind and the success of each call.
    """

    def __init__(
        self,
        kind: StateKind,
        store: StateStore,
        cluster_state: ClusterState,
        rng: random.Random,
        times: PollTimes,
        retry_gate: StoreRetryGate,
        count_call: Callable[[str, bool], None] = lambda kind, succeeded: None,
    ) -> None:
        super().__init__()
        self._kind = kind
        self._store = store
        self._cluster_state = cluster_state
        self._rng = rng
        self._times = times
        self._retry_gate = retry_gate
        self._behind = asyncio.Event()
        self._count_call = count_call
        self._unreachable = False
        self._version: StoreVersion | None = None
        self._failures = 0
        self._logged_error = ""

    async def run(self) -> None:
        """Watch the state until cancelled."""
        while True:
            try:
                has_polled = await self._poll_once()
                self._on_success(has_polled=has_polled)
            except HistoryLostError:
                log_event(
                    logger,
                    "store_history_lost",
                    kind=self._kind.value,
                    after=self._version,
                )
                self._version = None
            except StoreError as error:
                # The same changes would be too large again; pages are not. And
                # no changes would follow a version that the store never had.
                if isinstance(error, OversizedAnswerError | EarlierAnswerError):
                    self._version = None
                self._on_failure(str(error))
                await self._retry_gate.wait(self._kind, self._delay_s())
            except Exception as error:
                # Whatever an answer contains, this host goes on to follow the
                # table, after no longer than while the store is unreachable.
                self._log_error(error)
                self._on_failure(type(error).__name__)
                self._version = None
                await self._retry_gate.wait(self._kind, self._delay_s())

    async def _poll_once(self) -> bool:
        """Read all objects or wait for changes, and apply the result.

        Returns whether it waited for changes.
        """
        if self._version is None:
            snapshot = await self._store.read(self._kind)
            self._check_era(snapshot)
            self._record_reconnect()
            self._cluster_state.apply_snapshot(self._kind, snapshot)
            self._version = snapshot.version
            return False
        # The first poll after a failure does not wait, so that a recovery of
        # the store is noticed at once.
        wait_s = 0.0 if self._unreachable else self._times.wait_s(self._kind)
        changes = await self._poll(self._version, wait_s)
        self._check_era(changes)
        if self._version is None or changes.version.era != self._version.era:
            self._version = None
            return False
        self._record_reconnect()
        self._cluster_state.apply_changes(self._kind, changes)
        self._version = changes.version
        if changes.items:
            await asyncio.sleep(self._times.pause_s(self._kind))
        return True

    def _check_era(self, changes: Changes) -> None:
        """Raise ``StoreError`` for an answer of an earlier era."""
        era = changes.version.era
        if not self._cluster_state.observe_era(era, self._kind.value):
            raise StoreError(f"the answer is of the earlier era {era}")

    def read_again(self) -> None:
        """Read all objects instead of waiting for changes."""
        self._version = None
        self._behind.set()

    def repoll_if_behind(self, is_behind: Callable[[], bool]) -> None:
        """Start a new poll if ``is_behind`` still holds after a short delay.

        Called when an owner has a change that this host has not received.
        """

        def repoll() -> None:
            if is_behind():
                self._behind.set()

        asyncio.get_running_loop().call_later(BEHIND_GRACE_S, repoll)

    async def _poll(self, version: StoreVersion, wait_s: float) -> Changes:
        """Wait for changes, on a new connection once this host is behind."""
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

    def _record_reconnect(self) -> None:
        """Start the grace period for entries that expired in an outage.

        Only the watch of the engines knows when their list is current again;
        the polls of the others may end many seconds later.
        """
        if self._unreachable and self._kind is StateKind.ENGINES:
            self._cluster_state.store_reconnected()

    def _delay_s(self) -> float:
        bound_s = min(MAX_DELAY_S, INITIAL_DELAY_S * 2.0 ** min(self._failures - 1, 8))
        return bound_s * self._rng.uniform(0.6, 1.0)

    def _on_failure(self, reason: str) -> None:
        self._failures += 1
        self._count_call(self._kind.value, False)
        if not self._unreachable:
            self._unreachable = True
            log_event(
                logger,
                "dependency_lost",
                level=logging.WARNING,
                dependency="store",
                kind=self._kind.value,
                version=self._version,
                reason=reason,
            )

    def _log_error(self, error: Exception) -> None:
        """Log an unexpected error, once while it lasts."""
        text = repr(error)[:MAX_ERROR_CHARACTERS]
        if text == self._logged_error:
            return
        self._logged_error = text
        log_event(
            logger,
            "watch_failed",
            level=logging.ERROR,
            kind=self._kind.value,
            version=self._version,
            error=text,
        )

    def _on_success(self, *, has_polled: bool) -> None:
        """Record a successful call.

        Only a poll ends an outage: each poll may fail where all reads succeed,
        and the delay must grow and the log line not be repeated then.
        """
        self._count_call(self._kind.value, True)
        self._retry_gate.mark_reachable()
        if self._kind is StateKind.ENGINES:
            self._cluster_state.mark_engines_current()
        if not has_polled:
            return
        if self._unreachable:
            self._unreachable = False
            log_event(
                logger,
                "dependency_regained",
                dependency="store",
                kind=self._kind.value,
                version=self._version,
                failures=self._failures,
            )
        self._failures = 0
        self._logged_error = ""
