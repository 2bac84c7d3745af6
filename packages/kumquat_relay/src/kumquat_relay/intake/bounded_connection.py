"""A connection of a relay host with a bounded head and an idle limit.

Load pattern: that of ``BoundedHandler``; the limits of the configuration may
change at any time.
"""

from typing import Any

from aiohttp import web
from aiohttp.streams import StreamReader

from kumquat_core.intake.bounded_handler import BoundedHandler
from kumquat_core.intake.framing_meter import FramingMeter
from kumquat_core.intake.head_meter import HeadMeter
from kumquat_core.intake.intake_gate import IntakeGate
from kumquat_core.intake.waiting_input import WaitingInput

from ..idle_connection import IdleConnection
from ..limit_history import DEFAULT_LIMITS, LimitHistory

__all__ = ["BoundedConnection"]


class BoundedConnection(BoundedHandler, IdleConnection):
    """A connection whose limit on heads follows the configuration."""

    __slots__ = (
        "_drops_input",
        "_ended_requests",
        "_expected_bytes",
        "_framing",
        "_gate",
        "_holds_queue",
        "_input",
        "_last_payload",
        "_meter",
    )

    def __init__(
        self,
        manager: web.Server,
        limits: LimitHistory,
        gate: IntakeGate | None,
        **options: Any,
    ) -> None:
        super().__init__(manager, limits, **options)
        self._gate = gate
        self._framing = FramingMeter()
        self._meter = HeadMeter()
        self._input = WaitingInput()
        self._ended_requests = 0
        self._expected_bytes = 0
        self._holds_queue = False
        self._drops_input = False
        self._last_payload: StreamReader | None = None

    @property
    def longest_head(self) -> int:
        """Return the limit on the bytes of a head."""
        limits = self._limits.current
        return max(DEFAULT_LIMITS.max_header_bytes, limits.max_header_bytes)
