"""Logs and counts the responses that were not accepted as answers.

Load pattern: a faulty server may send thousands of them per second, so that
the number of log lines per second is limited; the metric counts all.
"""

import logging
from collections.abc import Callable

from kumquat_core.clock import Clock
from kumquat_core.log_events import log_event

from .answer_check import AnswerFault

__all__ = ["RejectedAnswers"]

MAX_LINES_PER_PERIOD = 10
PERIOD_S = 1.0

logger = logging.getLogger(__name__)


class RejectedAnswers:
    """Records responses; ``count`` is called with the fault of each."""

    def __init__(self, clock: Clock, count: Callable[[str], None]) -> None:
        self._clock = clock
        self._count = count
        self._period_began_s = float("-inf")
        self._lines = 0
        self._left_out = 0

    def record(
        self, fault: AnswerFault, engine_id: str, call: str, status: int, exchanges: int
    ) -> None:
        """Record a response.

        ``call`` is the id of the request, or the target of a control call,
        ``exchanges`` the number of requests sent on the connection.
        """
        self._count(fault.value)
        now_s = self._clock.monotonic()
        if now_s - self._period_began_s >= PERIOD_S:
            self._period_began_s, self._lines = now_s, 0
        if self._lines >= MAX_LINES_PER_PERIOD:
            self._left_out += 1
            return
        self._lines += 1
        left_out, self._left_out = self._left_out, 0
        log_event(
            logger,
            "answer_not_accepted",
            level=logging.WARNING,
            request=call,
            engine=engine_id,
            fault=fault.value,
            status=status,
            exchanges=exchanges,
            lines_left_out=left_out or None,
        )
