"""Logs, counts and remembers servers that send responses without end.

Load pattern: a faulty server sends such responses to each request of all
paths, up to hundreds per second. It is avoided after the first one, since each
takes as much work as hundreds of sound responses.
"""

import functools
import logging
from collections.abc import Callable

from kumquat_core.log_events import log_event

from .engine_health import EngineHealth, Failure

__all__ = ["EndlessResponses"]

logger = logging.getLogger(__name__)


class EndlessResponses:
    """Records responses without end; ``count`` is called for each of them."""

    def __init__(self, health: EngineHealth, count: Callable[[], None]) -> None:
        self._health = health
        self._count = count

    def recorder(self, engine_id: str, call: str) -> Callable[[str], None]:
        """Return the function that records the response to a call.

        ``call`` is the id of the request, or the target of a control call. The
        function takes what was seen.
        """
        return functools.partial(self._record, engine_id, call)

    def _record(self, engine_id: str, call: str, seen: str) -> None:
        """Count a response; log it if its server was not avoided before."""
        self._count()
        if not self._health.record_failure(engine_id, Failure.ENDLESS):
            return
        log_event(
            logger,
            "response_endless",
            level=logging.WARNING,
            request=call,
            engine=engine_id,
            seen=seen,
        )
        log_event(
            logger,
            "engine_avoided",
            engine=engine_id,
            failure=Failure.ENDLESS.name.lower(),
        )
