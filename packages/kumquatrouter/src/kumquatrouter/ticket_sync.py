"""Keeps the configuration in force up to date from the ticket log."""

import logging

from kumquat_core.log_events import log_event
from kumquat_core.result_codes import RouterError
from kumquat_core.table_client import TableClient
from kumquat_core.tickets import Ticket, TicketStore

__all__ = ["TICKET_LOG_TABLE", "TicketSync", "position_key"]

TICKET_LOG_TABLE = "ticket_log"
POSITION_DIGITS = 12
BATCH_ROWS = 500

logger = logging.getLogger(__name__)


def position_key(position: int) -> str:
    """Return the table key of a log position; keys sort like positions."""
    return f"{position:0{POSITION_DIGITS}d}"


class TicketSync:
    """Polls the ticket log and merges new tickets."""

    def __init__(self, store: TicketStore, table_client: TableClient) -> None:
        self._store = store
        self._table_client = table_client

    async def poll(self) -> None:
        """Merge the tickets accepted since the last poll."""
        while True:
            after = position_key(self._store.position)
            try:
                rows = await self._table_client.scan(
                    TICKET_LOG_TABLE, after, BATCH_ROWS
                )
            except RouterError as error:
                log_event(
                    logger,
                    "ticket_poll_failed",
                    level=logging.WARNING,
                    detail=error.detail,
                )
                return
            self._merge([Ticket.from_document(row.value) for row in rows])
            if len(rows) < BATCH_ROWS:
                return

    def _merge(self, tickets: list[Ticket]) -> None:
        if self._store.apply(tickets):
            log_event(
                logger,
                "tickets_merged",
                position=self._store.position,
                number=self._store.number,
            )
