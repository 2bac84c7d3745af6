"""Table client that measures its calls and knows the store's health."""

from collections.abc import AsyncIterator, Sequence
from contextlib import asynccontextmanager
from dataclasses import dataclass

from kumquat_core.clock import Clock
from kumquat_core.metrics import RouterMetrics
from kumquat_core.result_codes import RouterError
from kumquat_core.table_client import Row, TableClient, TransactResult, Write

__all__ = ["MeteredTableClient", "StoreHealth"]


@dataclass(frozen=True)
class StoreHealth:
    """State of the table service as this host's last call saw it.

    ``success_age_s`` is the time since the last answer, None before the
    first one.
    """

    healthy: bool
    success_age_s: float | None
    last_error: str


class MeteredTableClient:
    """Passes calls to another client and records time and failures."""

    def __init__(
        self, client: TableClient, metrics: RouterMetrics, clock: Clock
    ) -> None:
        self._client = client
        self._metrics = metrics
        self._clock = clock
        self._succeeded_s: float | None = None
        self._scanned_s = clock.monotonic()
        self._last_error = ""
        self._healthy = False

    async def transact(self, writes: Sequence[Write]) -> TransactResult:
        """Apply all writes, or none when a condition fails."""
        async with self._measured("transact"):
            return await self._client.transact(writes)

    async def get(self, table: str, key: str) -> Row | None:
        """Return one row, or None."""
        async with self._measured("get"):
            return await self._client.get(table, key)

    async def scan(self, table: str, after: str, limit: int) -> list[Row]:
        """Return up to ``limit`` rows after a key, in key order."""
        async with self._measured("scan"):
            rows = await self._client.scan(table, after, limit)
        self._scanned_s = self._clock.monotonic()
        return rows

    @property
    def scan_age_s(self) -> float:
        """Return the seconds since the ticket log was last read."""
        return self._clock.monotonic() - self._scanned_s

    def health(self) -> StoreHealth:
        """Return the health as the last call saw it."""
        age_s = None
        if self._succeeded_s is not None:
            age_s = self._clock.monotonic() - self._succeeded_s
        return StoreHealth(self._healthy, age_s, self._last_error)

    @asynccontextmanager
    async def _measured(self, operation: str) -> AsyncIterator[None]:
        began_s = self._clock.monotonic()
        try:
            yield
        except RouterError as error:
            self._last_error = error.detail
            self._record(operation, began_s, healthy=False)
            raise
        self._record(operation, began_s, healthy=True)

    def _record(self, operation: str, began_s: float, *, healthy: bool) -> None:
        now_s = self._clock.monotonic()
        self._healthy = healthy
        if healthy:
            self._succeeded_s = now_s
        self._metrics.observe_store(operation, now_s - began_s, failed=not healthy)
