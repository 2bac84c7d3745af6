"""Table client that measures its calls and tracks the store's health."""

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
    """State of the table service as of this host's last call.

    ``success_age_s`` is the time since the last successful call, None before
    the first one.
    """

    healthy: bool
    success_age_s: float | None
    last_error: str


class MeteredTableClient:
    """Forwards calls to another client; records duration and failures."""

    def __init__(
        self, client: TableClient, metrics: RouterMetrics, clock: Clock
    ) -> None:
        self._client = client
        self._metrics = metrics
        self._clock = clock
        self._last_success_s: float | None = None
        self._last_scan_s = clock.monotonic()
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
        self._last_scan_s = self._clock.monotonic()
        return rows

    @property
    def scan_age_s(self) -> float:
        """Return the seconds since the ticket log was last read."""
        return self._clock.monotonic() - self._last_scan_s

    def health(self) -> StoreHealth:
        """Return the health as of the last call."""
        age_s = None
        if self._last_success_s is not None:
            age_s = self._clock.monotonic() - self._last_success_s
        return StoreHealth(self._healthy, age_s, self._last_error)

    @asynccontextmanager
    async def _measured(self, operation: str) -> AsyncIterator[None]:
        """Measure a call; a cancelled call is not recorded."""
        started_s = self._clock.monotonic()
        try:
            yield
        except RouterError as error:
            self._last_error = error.detail
            self._record(operation, started_s, healthy=False)
            raise
        self._record(operation, started_s, healthy=True)

    def _record(self, operation: str, started_s: float, *, healthy: bool) -> None:
        now_s = self._clock.monotonic()
        self._healthy = healthy
        if healthy:
            self._last_success_s = now_s
        self._metrics.observe_store(operation, now_s - started_s, failed=not healthy)
