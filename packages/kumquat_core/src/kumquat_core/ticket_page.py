"""Tickets of the log as they are read from documents.

A later build may write tickets that this one cannot read. Such a ticket ends
the list, since those after it must not be merged without it.
"""

from collections.abc import Sequence
from dataclasses import dataclass
from typing import Any

from pydantic import ValidationError
from returns.result import Failure, Result, Success

from .result_codes import ResultCode, RouterError
from .tickets import Ticket

__all__ = ["TicketPage", "parse_page", "parse_tickets"]


@dataclass(frozen=True)
class TicketPage:
    """Tickets in order, and the error of the one that ended them, if any."""

    tickets: list[Ticket]
    error: RouterError | None = None

    def to_result(self) -> Result[list[Ticket], RouterError]:
        """Return the tickets, or the error if there are none before it."""
        if self.error is not None and not self.tickets:
            return Failure(self.error)
        return Success(self.tickets)


def parse_page(documents: Sequence[dict[str, Any]]) -> TicketPage:
    """Return the tickets before the first invalid one, and its error."""
    tickets: list[Ticket] = []
    for document in documents:
        try:
            tickets.append(Ticket.from_document(document))
        except (ValidationError, KeyError, TypeError, ValueError) as error:
            detail = f"a ticket in the log is not valid: {type(error).__name__}"
            return TicketPage(tickets, RouterError(ResultCode.TICKET_INVALID, detail))
    return TicketPage(tickets)


def parse_tickets(
    documents: Sequence[dict[str, Any]],
) -> Result[list[Ticket], RouterError]:
    """Return the tickets before the first invalid one.

    If the first one is invalid, the result is ``TICKET_INVALID``.
    """
    return parse_page(documents).to_result()
