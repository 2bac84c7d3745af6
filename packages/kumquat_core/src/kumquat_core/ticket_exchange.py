"""Tickets between entry hosts, for hosts that cannot reach the store.

A host keeps the last tickets it merged. A peer that is a little behind gets
these; one that is far behind gets the whole merged state. What arrives is
validated like any input, and merges by highest number, so a peer that is
behind or wrong about its position cannot revert anything.
"""

import json
import zlib
from collections import deque
from collections.abc import Iterable
from typing import Any

from returns.result import Failure, Result, Success

from .peer_messages import TicketBatch
from .result_codes import ResultCode, RouterError
from .ticket_log import TicketTarget, parse_snapshot, parse_tickets
from .tickets import Ticket, TicketStore

__all__ = ["TicketTail", "merge_batch"]

# At 78,000 tickets a day this covers more than the 15 min after which most
# peers have long read the store; the memory stays below 2 MB.
MAX_TAIL_TICKETS = 1000

# Bound a frame; the peer asks again for the rest. One ticket of 10,000
# objects stays below the 4 MiB of a frame and is sent alone.
MAX_BATCH_TICKETS = 200
MAX_BATCH_BYTES = 1_000_000

# The state of 12,000 engines with all fields written out is 4.0 MB, as much
# as a frame holds, so snapshots are compressed. The limit of the expanded
# size bounds the memory that a malformed batch can take.
SNAPSHOT_FIELD = "deflated_json"
MAX_SNAPSHOT_BYTES = 64 * 1024 * 1024


class TicketTail:
    """The last tickets that this host merged, without a gap."""

    def __init__(self, store: TicketStore) -> None:
        self._store = store
        self._tickets: deque[Ticket] = deque(maxlen=MAX_TAIL_TICKETS)

    @property
    def position(self) -> int:
        """Return the log position up to which all tickets are merged."""
        return self._store.position

    def load_snapshot(self, document: dict[str, Any]) -> bool:
        """Merge a validated snapshot when it is ahead."""
        return self._store.load_snapshot(document)

    def apply(self, tickets: Iterable[Ticket]) -> bool:
        """Merge tickets into the store and keep those that were merged."""
        ordered = sorted(tickets, key=lambda item: item.position)
        before = self._store.position
        changed = self._store.apply(ordered)
        if self._tickets and self._tickets[-1].position != before:
            # A snapshot moved the store past the tail.
            self._tickets.clear()
        self._tickets.extend(
            ticket
            for ticket in ordered
            if before < ticket.position <= self._store.position
        )
        return changed

    def batch_after(self, position: int) -> TicketBatch:
        """Return what brings a peer at ``position`` forward."""
        present = self._store.position
        if position >= present:
            return TicketBatch(present)
        tail_is_current = self._tickets and self._tickets[-1].position == present
        if not tail_is_current or self._tickets[0].position > position + 1:
            return TicketBatch(present, snapshot=_packed(self._store.snapshot()))
        later = [ticket for ticket in self._tickets if ticket.position > position]
        return TicketBatch(present, tuple(_first_documents(later)))


def merge_batch(target: TicketTarget, batch: TicketBatch) -> Result[bool, RouterError]:
    """Merge a peer's batch; return whether the state changed."""
    if batch.snapshot is not None:
        snapshot = _unpacked(batch.snapshot).bind(parse_snapshot)
        return snapshot.map(target.load_snapshot)
    return parse_tickets(batch.documents).map(target.apply)


def _first_documents(tickets: list[Ticket]) -> list[dict[str, Any]]:
    """Return the documents of the first tickets that fit in one batch."""
    documents: list[dict[str, Any]] = []
    size_bytes = 0
    for ticket in tickets[:MAX_BATCH_TICKETS]:
        document = ticket.to_document()
        size_bytes += len(json.dumps(document))
        if documents and size_bytes > MAX_BATCH_BYTES:
            break
        documents.append(document)
    return documents


def _packed(document: dict[str, Any]) -> dict[str, Any]:
    return {SNAPSHOT_FIELD: zlib.compress(json.dumps(document).encode())}


def _unpacked(packed: dict[str, Any]) -> Result[Any, RouterError]:
    try:
        inflater = zlib.decompressobj()
        content = inflater.decompress(packed[SNAPSHOT_FIELD], MAX_SNAPSHOT_BYTES)
        if not inflater.eof:
            raise ValueError("truncated or too large")
        return Success(json.loads(content))
    except (KeyError, TypeError, ValueError, zlib.error) as error:
        detail = f"malformed snapshot: {type(error).__name__}"
        return Failure(RouterError(ResultCode.TICKET_INVALID, detail))
