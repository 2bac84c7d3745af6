"""Exchange of tickets between entry hosts when the store is unreachable.

A host keeps the last tickets that it merged. A peer that lacks only these
gets them; a peer that is further behind gets the whole merged state. Received
documents are validated like any input and merged by highest number, so a
peer that is behind or reports a wrong position cannot revert anything.
"""

import json
import zlib
from collections import deque
from collections.abc import Iterable
from typing import Any

from returns.result import Failure, Result, Success

from .peer_messages import TicketBatch
from .result_codes import ResultCode, RouterError
from .ticket_log import TicketTarget, parse_snapshot
from .ticket_page import parse_tickets
from .tickets import Ticket, TicketStore

__all__ = ["TicketTail", "merge_batch"]

# At 78,000 tickets a day this covers more than 15 min, within which most
# peers have read the store. It takes less than 2 MB of memory.
MAX_TAIL_TICKETS = 1000

# Limits of one frame; the peer requests the remaining tickets afterwards. A
# ticket of 10,000 objects is sent alone and fits in a frame of 4 MiB.
MAX_BATCH_TICKETS = 200
MAX_BATCH_BYTES = 1_000_000

# The state of 12,000 engines with all fields is 4.0 MB, as much as a frame
# holds, so snapshots are compressed. The limit of the decompressed size
# bounds the memory that a malformed batch can use.
SNAPSHOT_FIELD = "deflated_json"
MAX_SNAPSHOT_BYTES = 64 * 1024 * 1024


class TicketTail:
    """Merges tickets into a store and keeps the last ones without a gap."""

    def __init__(self, store: TicketStore) -> None:
        self._store = store
        self._tickets: deque[Ticket] = deque(maxlen=MAX_TAIL_TICKETS)

    @property
    def position(self) -> int:
        """Return the log position up to which all tickets are merged."""
        return self._store.position

    def load_snapshot(self, document: dict[str, Any]) -> bool:
        """Merge a validated snapshot if its position is higher."""
        return self._store.load_snapshot(document)

    def continues_at(self, first: Ticket | None) -> bool:
        """Return whether the log still has what was merged from it."""
        return self._store.continues_at(first)

    def rewind(self) -> None:
        """Read the log from its start again; what was merged stays."""
        self._store.rewind()
        self._tickets.clear()

    def apply(self, tickets: Iterable[Ticket]) -> bool:
        """Merge tickets into the store and keep those that were merged."""
        ordered = sorted(tickets, key=lambda item: item.position)
        before = self._store.position
        changed = self._store.apply(ordered)
        if self._tickets and self._tickets[-1].position != before:
            # A snapshot has advanced the store past the tail.
            self._tickets.clear()
        self._tickets.extend(
            ticket
            for ticket in ordered
            if before < ticket.position <= self._store.position
        )
        return changed

    def batch_after(self, position: int) -> TicketBatch:
        """Return the tickets after ``position``, or a snapshot."""
        current_position = self._store.position
        if position >= current_position:
            return TicketBatch(current_position)
        tail_is_current = (
            self._tickets and self._tickets[-1].position == current_position
        )
        if not tail_is_current or self._tickets[0].position > position + 1:
            return TicketBatch(
                current_position, snapshot=_compress_snapshot(self._store.snapshot())
            )
        missing_tickets = [
            ticket for ticket in self._tickets if ticket.position > position
        ]
        return TicketBatch(
            current_position, tuple(_documents_within_limits(missing_tickets))
        )


def merge_batch(target: TicketTarget, batch: TicketBatch) -> Result[bool, RouterError]:
    """Merge a peer's batch; return whether the state changed."""
    if batch.snapshot is not None:
        snapshot = _decompress_snapshot(batch.snapshot).bind(parse_snapshot)
        return snapshot.map(target.load_snapshot)
    return parse_tickets(batch.documents).map(target.apply)


def _documents_within_limits(tickets: list[Ticket]) -> list[dict[str, Any]]:
    """Return the documents of the first tickets within the batch limits."""
    documents: list[dict[str, Any]] = []
    size_bytes = 0
    for ticket in tickets[:MAX_BATCH_TICKETS]:
        document = ticket.to_document()
        size_bytes += len(json.dumps(document))
        if documents and size_bytes > MAX_BATCH_BYTES:
            break
        documents.append(document)
    return documents


def _compress_snapshot(document: dict[str, Any]) -> dict[str, Any]:
    return {SNAPSHOT_FIELD: zlib.compress(json.dumps(document).encode())}


def _decompress_snapshot(compressed: dict[str, Any]) -> Result[Any, RouterError]:
    try:
        decompressor = zlib.decompressobj()
        content = decompressor.decompress(
            compressed[SNAPSHOT_FIELD], MAX_SNAPSHOT_BYTES
        )
        if not decompressor.eof:
            raise ValueError("truncated or too large")
        return Success(json.loads(content))
    except (KeyError, TypeError, ValueError, RecursionError, zlib.error) as error:
        detail = f"malformed snapshot: {type(error).__name__}"
        return Failure(RouterError(ResultCode.TICKET_INVALID, detail))
