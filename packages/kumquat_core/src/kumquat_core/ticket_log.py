"""The log of accepted tickets, and snapshots of their merged state.

A ticket is accepted by one transaction of the table service: it creates
``tickets/NUMBER``, advances ``ticket_head/head`` and creates
``ticket_log/POSITION``. The first makes numbers unique, the second makes
positions gapless, and hosts poll the third.

Invariants:

- A ticket is accepted at one position or not at all. When the response to a
  transaction is lost, ``tickets/NUMBER`` is read back to find out whether it
  took effect. Retrying it is safe because that key must be absent.
- A snapshot in the object store is replaced only by one with a higher
  position. The write is conditional on the entity tag of the snapshot that
  was compared.
- A host merges only tickets that follow its position without a gap. When the
  log was truncated up to a newer snapshot, the reader detects the gap and
  reads that snapshot.
"""

import asyncio
import json
import logging
import random
from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import Enum
from typing import Any, Protocol

from pydantic import ValidationError
from returns.result import Failure, Result, Success

from .log_events import log_event
from .object_client import ObjectClient, StoredObject
from .result_codes import Execution, ResultCode, RouterError
from .table_client import ABSENT, TableClient, Write
from .ticket_models import SnapshotModel, TicketModel
from .ticket_page import TicketPage, parse_page
from .tickets import Ticket, TicketStore, digest_of

__all__ = [
    "LOG_TABLE",
    "Acceptance",
    "Accepted",
    "AlreadyAccepted",
    "Conflict",
    "SnapshotWrite",
    "Superseded",
    "TicketLog",
    "TicketTarget",
    "ticket_index_document",
    "parse_snapshot",
    "ticket_key",
]

logger = logging.getLogger(__name__)

TICKETS_TABLE = "tickets"
HEAD_TABLE = "ticket_head"
HEAD_KEY = "head"
LOG_TABLE = "ticket_log"
SNAPSHOT_NAME = "ticket-snapshot"

# Numbers and positions are below 10**12. With leading zeros their keys sort
# in numerical order.
KEY_DIGITS = 12
BATCH_ROWS = 500

MAX_TRIES = 20
CONFLICT_DELAY_S = 0.01
MAX_CONFLICT_DELAY_S = 0.5
MAX_SNAPSHOT_TRIES = 3


@dataclass(frozen=True)
class Accepted:
    """The ticket is in the log and sets the state of at least one object.

    Also returned when its effect could not be determined.
    """

    position: int


@dataclass(frozen=True)
class AlreadyAccepted:
    """The same ticket was accepted before."""

    position: int


@dataclass(frozen=True)
class Conflict:
    """The number belongs to an accepted ticket with other content."""

    number: int
    position: int


@dataclass(frozen=True)
class Superseded:
    """The ticket is in the log, but changes nothing.

    ``numbers_by_object`` maps ``kind/name`` to the higher ticket number that
    set the current state, for every object of the ticket.
    """

    position: int
    numbers_by_object: dict[str, int] = field(default_factory=dict)


Acceptance = Accepted | AlreadyAccepted | Conflict | Superseded


class TicketTarget(Protocol):
    """Interface of a store that merges tickets, such as ``TicketStore``."""

    @property
    def position(self) -> int:
        """Return the log position up to which all tickets are merged."""

    def apply(self, tickets: Iterable[Ticket]) -> bool:
        """Merge tickets that follow the current position without a gap."""

    def load_snapshot(self, document: dict[str, Any]) -> bool:
        """Merge a validated snapshot if its position is higher."""

    def continues_at(self, first: Ticket | None) -> bool:
        """Return whether the log still has what was merged from it."""

    def rewind(self) -> None:
        """Read the log from its start again; what was merged stays."""


class SnapshotWrite(Enum):
    """Result of writing a snapshot."""

    WRITTEN = "written"
    NOT_NEWER = "not_newer"
    LOST_RACE = "lost_race"


def ticket_key(number: int) -> str:
    """Return the table key of a ticket number or log position."""
    return f"{number:0{KEY_DIGITS}d}"


def ticket_index_document(ticket: Ticket) -> dict[str, Any]:
    """Return the document of ``tickets/NUMBER``: position and digest."""
    return {"position": ticket.position, "digest": ticket.digest}


def parse_snapshot(document: Any) -> Result[dict[str, Any], RouterError]:
    """Validate a snapshot; ``TICKET_INVALID`` when it cannot be merged."""
    try:
        model = SnapshotModel.model_validate(document)
    except ValidationError as error:
        detail = f"snapshot with {error.error_count()} errors"
        return Failure(RouterError(ResultCode.TICKET_INVALID, detail))
    return Success(model.model_dump(mode="json"))


class TicketLog:
    """Accepts and reads tickets and snapshots in the platform's services."""

    def __init__(
        self, table: TableClient, objects: ObjectClient, rng: random.Random
    ) -> None:
        self._table = table
        self._objects = objects
        self._rng = rng

    # Acceptance.

    async def accept(
        self, model: TicketModel, store: TicketStore
    ) -> Result[Acceptance, RouterError]:
        """Append a ticket to the log and return its effect on the state.

        The later tickets of the log are merged into ``store`` to determine
        the effect. A failure with the execution ``UNKNOWN`` means that the
        ticket may have been accepted. Repeating the call is safe; once the
        store is reachable, it accepts the ticket or finds it accepted.
        """
        result = await self._append(model)
        match result:
            case Success(Accepted(position)):
                return Success(await self._classify_acceptance(model, position, store))
        return result

    async def _append(self, model: TicketModel) -> Result[Acceptance, RouterError]:
        """Write a ticket to the log; retry after conflicts and failures."""
        response_lost = False
        delay_s = CONFLICT_DELAY_S
        for _ in range(MAX_TRIES):
            try:
                existing = await self._find_accepted(model, response_lost)
                if existing is not None:
                    return Success(existing)
                writes, position = await self._acceptance_writes(model)
            except RouterError as error:
                return Failure(_with_execution(error, response_lost))
            try:
                result = await self._table.transact(writes)
            except RouterError:
                response_lost = True
            else:
                if result.committed and len(result.versions) == len(writes):
                    return Success(Accepted(position))
            await asyncio.sleep(delay_s * self._rng.random())
            delay_s = min(delay_s * 2, MAX_CONFLICT_DELAY_S)
        detail = f"not accepted after {MAX_TRIES} tries"
        exhausted = RouterError(ResultCode.STORE_UNAVAILABLE, detail, retry_after_s=1.0)
        return Failure(_with_execution(exhausted, response_lost))

    async def _find_accepted(
        self, model: TicketModel, response_lost: bool
    ) -> Accepted | AlreadyAccepted | Conflict | None:
        """Return how the number was accepted before, or None."""
        row = await self._table.get(TICKETS_TABLE, ticket_key(model.number))
        if row is None:
            return None
        position = int(row.value["position"])
        if row.value["digest"] != digest_of(model):
            return Conflict(model.number, position)
        # After a try whose response was lost, the row is attributed to it.
        return Accepted(position) if response_lost else AlreadyAccepted(position)

    async def _acceptance_writes(self, model: TicketModel) -> tuple[list[Write], int]:
        """Return the transaction that accepts a ticket, and its position."""
        head = await self._table.get(HEAD_TABLE, HEAD_KEY)
        position = 1 if head is None else int(head.value["position"]) + 1
        head_version = ABSENT if head is None else head.version
        ticket = Ticket(position, model)
        writes = [
            Write(
                TICKETS_TABLE,
                ticket_key(model.number),
                ABSENT,
                ticket_index_document(ticket),
            ),
            Write(HEAD_TABLE, HEAD_KEY, head_version, {"position": position}),
            Write(LOG_TABLE, ticket_key(position), ABSENT, ticket.to_document()),
        ]
        return writes, position

    async def _classify_acceptance(
        self, model: TicketModel, position: int, store: TicketStore
    ) -> Acceptance:
        """Return whether an accepted ticket changes the merged state."""
        match await self.catch_up(store):
            case Failure(_):
                # The ticket is accepted, but its effect is not known.
                return Accepted(position)
        numbers_by_object = {
            f"{item.kind}/{item.name}": store.number_of(item.kind, item.name)
            for item in model.objects
        }
        if all(number > model.number for number in numbers_by_object.values()):
            return Superseded(position, numbers_by_object)
        return Accepted(position)

    # Reading.

    async def read_after(
        self, position: int, limit: int = BATCH_ROWS
    ) -> Result[list[Ticket], RouterError]:
        """Return accepted tickets after a position, in order.

        A ticket that this version cannot read ends the list. If it is the
        first one, the result is ``TICKET_INVALID``.
        """
        page = await self._read_page(position, limit)
        return page.bind(TicketPage.to_result)

    async def _read_page(
        self, position: int, limit: int = BATCH_ROWS
    ) -> Result[TicketPage, RouterError]:
        try:
            rows = await self._table.scan(LOG_TABLE, ticket_key(position), limit)
        except RouterError as error:
            return Failure(error)
        return Success(parse_page([row.value for row in rows]))

    async def catch_up(self, store: TicketTarget) -> Result[bool, RouterError]:
        """Merge all later tickets; return whether the state changed.

        A ticket that cannot be read ends this. The result is
        ``TICKET_INVALID`` if it is the first later one.

        The ticket at the current position is read again. If it is another one,
        the table service has come back from an older copy, and the log is read
        from its start.
        """
        before = store.position
        while True:
            match await self._read_page(max(0, store.position - 1)):
                case Success(page):
                    tickets = page.tickets
                case failure:
                    return Failure(failure.failure())
            if page.error is not None and not tickets:
                return Failure(page.error)
            if not store.continues_at(tickets[0] if tickets else None):
                log_event(
                    logger,
                    "ticket_log_restored",
                    level=logging.WARNING,
                    position=store.position,
                )
                store.rewind()
                before = 0
                continue
            tickets = [item for item in tickets if item.position > store.position]
            if not tickets and page.error is not None and store.position == before:
                return Failure(page.error)
            if not tickets:
                return Success(store.position > before)
            if tickets[0].position == store.position + 1:
                store.apply(tickets)
                continue
            # The log was truncated up to a newer snapshot.
            position = store.position
            match await self.load_snapshot(store):
                case Failure(error):
                    return Failure(error)
            if store.position == position:
                detail = f"the log starts at {tickets[0].position} without a snapshot"
                return Failure(RouterError(ResultCode.TICKET_INVALID, detail))

    async def start(self, store: TicketTarget) -> Result[bool, RouterError]:
        """Fill the store of a new host: the snapshot, then later tickets.

        An unreadable snapshot is ignored; the log is enough if it is
        complete.
        """
        before = store.position
        await self.load_snapshot(store)
        result = await self.catch_up(store)
        return result.map(lambda _: store.position > before)

    # Snapshots.

    async def load_snapshot(self, store: TicketTarget) -> Result[bool, RouterError]:
        """Merge the snapshot if its position is higher than the store's."""
        try:
            stored = await self._objects.get(SNAPSHOT_NAME)
        except RouterError as error:
            return Failure(error)
        if stored is None:
            return Success(False)
        return _parse_snapshot_content(stored).map(store.load_snapshot)

    async def write_snapshot(
        self, store: TicketStore
    ) -> Result[SnapshotWrite, RouterError]:
        """Write the state of the store unless the snapshot is as new."""
        document = store.snapshot()
        content = json.dumps(document, sort_keys=True).encode()
        try:
            for _ in range(MAX_SNAPSHOT_TRIES):
                existing = await self._objects.get(SNAPSHOT_NAME)
                if existing is not None:
                    match _parse_snapshot_content(existing):
                        case Success(stored_snapshot) if (
                            stored_snapshot["position"] < store.position
                        ):
                            pass
                        case Success(_):
                            return Success(SnapshotWrite.NOT_NEWER)
                        case failure:
                            # A later version of the router may have written
                            # it, so it is never replaced.
                            return Failure(failure.failure())
                etag = None if existing is None else existing.etag
                if await self._objects.put(SNAPSHOT_NAME, content, etag):
                    return Success(SnapshotWrite.WRITTEN)
        except RouterError as error:
            return Failure(error)
        return Success(SnapshotWrite.LOST_RACE)


def _parse_snapshot_content(
    stored: StoredObject,
) -> Result[dict[str, Any], RouterError]:
    try:
        document = json.loads(stored.content)
    except (ValueError, RecursionError):
        detail = "the snapshot is not JSON"
        return Failure(RouterError(ResultCode.TICKET_INVALID, detail))
    return parse_snapshot(document)


def _with_execution(error: RouterError, response_lost: bool) -> RouterError:
    """Return the error; after a lost response the execution is unknown."""
    execution = Execution.UNKNOWN if response_lost else Execution.NOT_RUN
    return RouterError(
        error.code,
        error.detail,
        retry_after_s=error.retry_after_s,
        execution=execution,
    )
