"""What engines say of themselves in their answers to this host.

Load pattern: the engines of a service are replaced while the store that lists
them is slow or away, and overloaded engines ask each host to stay away for a
while. An answer of the engine itself is the earliest notice of both.

An engine that announces its leaving, or whose address another process has,
gets nothing new from this host from that answer on. One that asks for a pause
gets nothing from this host until the pause is over; other hosts are not bound
by it. Both are told to the owner of the service, so that no place is granted
in vain.
"""

import logging
from collections.abc import Callable
from dataclasses import dataclass

from kumquat_core.clock import Clock
from kumquat_core.log_events import log_event

from .beliefs import Beliefs
from .engine_registry import EngineEntry
from .protocols import EngineNotice

__all__ = ["EngineNotices"]

# No request waits longer than some tens of seconds, and a pause that is this
# long by mistake would keep a sound engine unused.
MAX_PAUSE_S = 300.0

logger = logging.getLogger(__name__)


@dataclass(frozen=True)
class _Pause:
    service: str
    until_s: float


class EngineNotices:
    """Leaving engines and the pauses asked of this host, by engine id.

    ``on_notice`` is called with each notice that is news.
    """

    def __init__(self, clock: Clock, beliefs: Beliefs) -> None:
        self._clock = clock
        self._beliefs = beliefs
        self._pauses_by_id: dict[str, _Pause] = {}
        self.on_notice: Callable[[EngineEntry, EngineNotice], None]
        self.on_notice = lambda entry, notice: None

    def take(self, entry: EngineEntry, notice: EngineNotice) -> None:
        """Take over what an engine has just said."""
        if notice.problem:
            log_event(
                logger,
                "engine_notice_unreadable",
                level=logging.WARNING,
                engine=entry.id,
                problem=notice.problem,
            )
        ends = notice.leaving or notice.replaced
        source = "replaced" if notice.replaced else "answer"
        news = ends and self._beliefs.engine_leaves(
            entry.id, entry.born_ms, source=source
        )
        if notice.pause_s > 0:
            self._pause(entry, notice.pause_s)
            news = True
        if news:
            self.on_notice(entry, notice)

    def pause_left_s(self, engine_id: str) -> float:
        """Return the seconds for which an engine wants nothing from here."""
        pause = self._pauses_by_id.get(engine_id)
        if pause is None:
            return 0.0
        return max(0.0, pause.until_s - self._clock.monotonic())

    def barred(self, service: str) -> set[str]:
        """Return the engines of a service that get nothing new from here."""
        leaving = {
            entry.id
            for entry in self._beliefs.registry.all_entries()
            if entry.service == service and entry.draining
        }
        paused = {
            engine_id
            for engine_id, pause in self._pauses_by_id.items()
            if pause.service == service and self.pause_left_s(engine_id) > 0
        }
        return leaving | paused

    def forget(self, engine_id: str) -> None:
        """Drop the pause of an engine that is gone or has started anew."""
        self._pauses_by_id.pop(engine_id, None)

    def _pause(self, entry: EngineEntry, pause_s: float) -> None:
        bounded_s = min(MAX_PAUSE_S, pause_s)
        now_s = self._clock.monotonic()
        known = self._pauses_by_id.get(entry.id)
        until_s = max(now_s + bounded_s, known.until_s if known else now_s)
        self._pauses_by_id[entry.id] = _Pause(entry.service, until_s)
        log_event(
            logger,
            "engine_paused",
            engine=entry.id,
            asked_s=round(pause_s, 2),
            pause_s=round(until_s - now_s, 2),
        )
