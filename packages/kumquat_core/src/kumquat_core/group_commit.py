"""Group commit: batches conditional writes of many tasks in one transaction.

The table service handles several hundred writes a second, so the records of
concurrent requests share transactions. A write waits at most
``MAX_DELAY_S`` for others, and less when the batch is full.

Invariants:

- A failed condition affects only its own write. It aborts the whole
  transaction, so the other writes are sent again without it.
- A transport failure leaves the outcome of every write in the transaction
  unknown. Each writer reads its key back; nothing is retried here.
- A batch holds at most one write for each key, because the order of two
  writes of one key inside a transaction is undefined.
"""

import asyncio
from dataclasses import dataclass
from enum import Enum

from returns.result import Failure, Result, Success

from .result_codes import RouterError
from .table_client import TableClient, Write
from .task_errors import log_task_error

__all__ = ["GroupCommit", "WriteFailure"]

# Three writes of one request add at most 15 ms to its latency.
MAX_DELAY_S = 0.005

# With outcomes of at most 64 KiB, a transaction stays below 3 MB.
MAX_BATCH_WRITES = 32


class WriteFailure(Enum):
    """Why a conditional write is not known to have taken effect."""

    CONDITION_FAILED = "condition_failed"
    UNKNOWN = "unknown"


WriteResult = Result[int, WriteFailure]


@dataclass(eq=False)
class _Pending:
    """A queued write and the future that its caller awaits."""

    write: Write
    future: "asyncio.Future[WriteResult]"


class GroupCommit:
    """Batches writes and sends each batch as one transaction."""

    def __init__(
        self,
        table: TableClient,
        *,
        max_delay_s: float = MAX_DELAY_S,
        max_batch_writes: int = MAX_BATCH_WRITES,
    ) -> None:
        self._table = table
        self._max_delay_s = max_delay_s
        self._max_batch_writes = max_batch_writes
        self._pending: list[_Pending] = []
        self._timer: asyncio.TimerHandle | None = None
        self._transactions: set[asyncio.Task[None]] = set()

    async def write(self, write: Write) -> WriteResult:
        """Apply one conditional write and return the new version.

        Cancelling the caller does not cancel the write.
        """
        future: asyncio.Future[WriteResult] = asyncio.get_running_loop().create_future()
        self._pending.append(_Pending(write, future))
        if len(self._pending) >= self._max_batch_writes:
            self._flush()
        elif self._timer is None:
            self._start_timer()
        return await future

    async def drain(self) -> None:
        """Send the queued writes and wait for all transactions."""
        while self._pending or self._transactions:
            if self._pending:
                self._flush()
            await asyncio.wait(self._transactions)

    def _start_timer(self) -> None:
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(self._max_delay_s, self._flush)

    def _flush(self) -> None:
        """Start the transaction of the next batch."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        batch, self._pending = _split_batch(self._pending, self._max_batch_writes)
        if self._pending:
            self._start_timer()
        if not batch:
            return
        task = asyncio.get_running_loop().create_task(self._commit(batch))
        self._transactions.add(task)
        task.add_done_callback(self._transactions.discard)
        task.add_done_callback(log_task_error)

    async def _commit(self, batch: list[_Pending]) -> None:
        try:
            await self._commit_excluding_failed(batch)
        finally:
            # Futures without a result are resolved here, also when the task
            # is cancelled at shutdown.
            _resolve_all(batch, Failure(WriteFailure.UNKNOWN))

    async def _commit_excluding_failed(self, batch: list[_Pending]) -> None:
        """Send a batch again without failed writes until it commits."""
        remaining = batch
        while remaining:
            writes = [item.write for item in remaining]
            try:
                result = await self._table.transact(writes)
            except RouterError:
                return
            if result.committed:
                _resolve_with_versions(remaining, result.versions)
                return
            failed = set(result.failed)
            _resolve_all(
                [item for index, item in enumerate(remaining) if index in failed],
                Failure(WriteFailure.CONDITION_FAILED),
            )
            uncommitted = [
                item for index, item in enumerate(remaining) if index not in failed
            ]
            if len(uncommitted) == len(remaining):
                # The response names none of the writes as failed, so it does
                # not show whether they took effect.
                return
            remaining = uncommitted


def _split_batch(
    pending: list[_Pending], limit: int
) -> tuple[list[_Pending], list[_Pending]]:
    """Return a batch with one write for each key, and the deferred writes."""
    keys: set[tuple[str, str]] = set()
    batch: list[_Pending] = []
    deferred: list[_Pending] = []
    for item in pending:
        key = (item.write.table, item.write.key)
        if key in keys or len(batch) >= limit:
            deferred.append(item)
            continue
        keys.add(key)
        batch.append(item)
    return batch, deferred


def _resolve_with_versions(batch: list[_Pending], versions: tuple[int, ...]) -> None:
    """Resolve each write with its new version.

    A response with another number of versions resolves none of them.
    """
    if len(versions) != len(batch):
        return
    for item, version in zip(batch, versions, strict=True):
        if not item.future.done():
            item.future.set_result(Success(version))


def _resolve_all(batch: list[_Pending], result: WriteResult) -> None:
    for item in batch:
        if not item.future.done():
            item.future.set_result(result)
