"""Closes connections of callers to make room for others.

Load pattern: rarely needed. Callers that no operator controls open more
connections than a host may have, or leave heads incomplete on most of them.
"""

import logging
from collections.abc import Sequence
from typing import Protocol

from ..log_events import log_event
from .closing_order import HasHead, HasRank, choose_closed, oldest_heads, spare_of
from .intake_gate import IntakeGate

__all__ = ["ClosableConnection", "close_oldest_heads", "make_room"]

logger = logging.getLogger(__name__)


class ClosableConnection(HasRank, HasHead, Protocol):
    """A connection of a caller."""

    def close_for_room(self) -> None:
        """Close the connection at once."""

    def stop_input(self) -> None:
        """Drop what comes, and close once the last request was answered."""


def make_room(
    new: ClosableConnection,
    others: Sequence[ClosableConnection],
    gate: IntakeGate,
    excess: int,
) -> None:
    """Close at least ``excess`` of the others, or the new connection."""
    closed = choose_closed(others, excess + spare_of(gate.limits.max_connections))
    for connection in closed:
        connection.close_for_room()
    if len(closed) < excess:
        # All others have requests that may run.
        new.close_for_room()
    gate.record_closed("too_many_connections", max(1, len(closed)))
    log_event(
        logger,
        "connections_exceeded",
        open=len(others) + 1,
        closed=len(closed),
        limit=gate.limits.max_connections,
    )


def close_oldest_heads(
    connections: Sequence[ClosableConnection], gate: IntakeGate
) -> None:
    """Read no more of incomplete heads, the oldest first."""
    closed = oldest_heads(connections)
    log_event(logger, "caller_closed", cause="incomplete_heads", closed=len(closed))
    gate.record_closed("incomplete_heads", len(closed))
    for connection in closed:
        connection.stop_input()
