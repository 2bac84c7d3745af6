"""Keeps this host's own rows in the store.

Each host has one row of its own, and all hosts share the peer key. If the
store comes back from a copy that lacks them or has older ones, each host
writes its row again, and the first one the key; both after a random delay, so
that a fleet does not write at the same moment. Only the host writes its row.
"""

import asyncio
import logging
import random
from collections.abc import Awaitable, Callable

from kumquat_core.log_events import log_event
from kumquat_core.task_errors import describe_error

from .protocols import HostEntry, StateStore, StoreError

__all__ = ["StoreRegistration"]

# A host owns no queues until it is in the host list; the store responds in
# 4 ms.
REGISTER_RETRY_S = 0.3
# Well within the time in which other hosts keep an entry that is missing.
REWRITE_SPREAD_S = 1.0
# Bounds the calls that a stranger who connects to the peer port causes.
KEY_CHECK_PERIOD_S = 10.0
# Limits how long a graceful shutdown waits for the store.
WITHDRAW_TIMEOUT_S = 0.4

logger = logging.getLogger(__name__)


class StoreRegistration:
    """Writes the entry of a host and agrees on the peer key.

    ``use_key`` is called with the key that all hosts share, and
    ``on_rewritten`` after the entry was written again.
    """

    def __init__(
        self,
        entry: HostEntry,
        store: StateStore,
        proposal: bytes,
        rng: random.Random,
        use_key: Callable[[bytes], Awaitable[None]],
        on_rewritten: Callable[[], None] = lambda: None,
    ) -> None:
        self._on_rewritten = on_rewritten
        self._entry = entry
        self._store = store
        self._key = proposal
        self._rng = rng
        self._use_key = use_key
        self._task: asyncio.Task[None] | None = None
        self._is_registered = False
        self._logged_error = ""
        self._key_check_due_s = float("-inf")

    def start(self) -> None:
        """Write the rows in the background until the store has them."""
        self._task = asyncio.ensure_future(self._register())

    def restart(self) -> None:
        """Write the rows again if the store does not have them any more."""
        if self._is_registered:
            if self._task is not None:
                self._task.cancel()
            self._task = asyncio.ensure_future(self._register_again())

    def check_key(self) -> None:
        """Read the key again, since another host uses another one.

        That host has written its key in place of an odd one, or has not read
        a new one yet.
        """
        now_s = asyncio.get_running_loop().time()
        if now_s >= self._key_check_due_s:
            self._key_check_due_s = now_s + KEY_CHECK_PERIOD_S
            self.restart()

    def repair(self, host_id: str) -> None:
        """Write the rows again if the entry of this host is unreadable."""
        if host_id == self._entry.host_id:
            self.restart()

    def cancel(self) -> None:
        """Stop writing, also when the store comes back from a copy."""
        self._is_registered = False
        if self._task is not None:
            self._task.cancel()

    async def withdraw(self) -> None:
        """Stop writing and remove the entry, if the store responds."""
        self.cancel()
        try:
            async with asyncio.timeout(WITHDRAW_TIMEOUT_S):
                await self._store.remove_host(self._entry.host_id)
        except (StoreError, TimeoutError) as error:
            log_event(logger, "host_entry_kept", reason=str(error) or "timeout")

    async def _register(self) -> None:
        while True:
            try:
                await self._agree_on_key()
                await self._store.put_host(self._entry)
            except Exception as error:
                self._log_failure(error)
                await asyncio.sleep(REGISTER_RETRY_S)
                continue
            self._is_registered = True
            log_event(logger, "host_entered", host=self._entry.host_id)
            return

    async def _register_again(self) -> None:
        await asyncio.sleep(self._rng.uniform(0.0, REWRITE_SPREAD_S))
        while True:
            try:
                await self._agree_on_key()
                if not await self._store.has_host(self._entry):
                    await self._store.put_host(self._entry)
                    log_event(logger, "host_entered_again", host=self._entry.host_id)
                    self._on_rewritten()
            except Exception as error:
                self._log_failure(error)
                await asyncio.sleep(REGISTER_RETRY_S)
                continue
            return

    def _log_failure(self, error: Exception) -> None:
        """Log why a row was not written; an unexpected error only once."""
        if isinstance(error, StoreError):
            log_event(logger, "host_not_entered", reason=str(error))
            return
        text = describe_error(error)
        if text != self._logged_error:
            self._logged_error = text
            log_event(logger, "registration_failed", level=logging.ERROR, error=text)

    async def _agree_on_key(self) -> None:
        """Write the key unless the store has one, and use the store's."""
        self._key = await self._store.peer_key(self._key)
        await self._use_key(self._key)
