"""Logs and counts messages of a peer that cannot be decoded."""

import logging
from collections.abc import Callable

from kumquat_core.log_events import log_event
from kumquat_core.peer_messages import Envelope

__all__ = ["OddMessages"]

logger = logging.getLogger(__name__)


class OddMessages:
    """The malformed messages of one connection; the first one is logged.

    A peer of another build may send one with each report.
    """

    def __init__(self, host_id: str, count: Callable[[], None]) -> None:
        self._host_id = host_id
        self._count = count
        self._is_logged = False

    def record(self, detail: str) -> None:
        """Record a message that is left out."""
        self._count()
        if self._is_logged:
            return
        self._is_logged = True
        log_event(
            logger,
            "message_unreadable",
            level=logging.WARNING,
            peer=self._host_id,
            detail=detail,
        )

    def record_left_out(self, envelope: Envelope) -> None:
        """Record a message of which some items are left out."""
        name = type(envelope.message).__name__
        self.record(f"{envelope.left_out} items of {name}")
