"""Notices that engines give of themselves in their responses to this host.

Load pattern: the engines of a service are replaced while the store that lists
them is slow or unreachable, and overloaded engines ask each host to send
nothing for a while. The engine's own response is the earliest notice of both.

When an engine announces its shutdown, or another process has its address, this
host sends it no new work from that response on. When an engine asks for a
pause, this host sends it nothing until the pause is over; the pause does not
apply to other hosts. The owner of the service is notified of both, so that it
grants no slot that cannot be used. A limit that an engine names applies to all
hosts together; ``known_limits`` keeps it.
"""

import logging
from collections.abc import Callable
from dataclasses import dataclass

from kumquat_core.clock import Clock
from kumquat_core.log_events import log_event

from .cluster_state import ClusterState
from .engine_registry import EngineEntry
from .known_limits import KnownLimits
from .protocols import EngineNotice

__all__ = ["EngineNotices"]

# No request waits longer than some tens of seconds, and a longer pause stated
# by mistake would keep a healthy engine unused.
MAX_PAUSE_S = 300.0

logger = logging.getLogger(__name__)


@dataclass(frozen=True)
class _Pause:
    service: str
    until_s: float


class EngineNotices:
    """Applies notices of engines and keeps the pauses that they asked for.

    ``on_notice`` is called with each notice that has changed something,
    ``on_replaced`` with an engine whose address belongs to another one.
    """

    def __init__(
        self, clock: Clock, cluster_state: ClusterState, limits: KnownLimits
    ) -> None:
        self._limits = limits
        self._clock = clock
        self._cluster_state = cluster_state
        self._pauses_by_id: dict[str, _Pause] = {}
        self.on_notice: Callable[[EngineEntry, EngineNotice], None]
        self.on_notice = lambda entry, notice: None
        self.on_replaced: Callable[[EngineEntry], None] = lambda entry: None

    def apply(
        self,
        entry: EngineEntry,
        notice: EngineNotice,
        status: int,
        sent_s: float | None = None,
    ) -> None:
        """Apply a notice that an engine has just given.

        ``sent_s`` is when the request was sent, None for a control call.
        """
        self._limits.apply(entry, notice, sent_s, status)
        if notice.problem:
            log_event(
                logger,
                "engine_notice_unreadable",
                level=logging.WARNING,
                engine=entry.id,
                problem=notice.problem,
            )
        is_leaving = notice.leaving or notice.replaced
        source = "replaced" if notice.replaced else "answer"
        changed = is_leaving and self._cluster_state.mark_engine_leaving(
            entry.id, entry.born_ms, source=source
        )
        if notice.pause_s > 0:
            self._start_pause(entry, notice.pause_s)
            changed = True
        if notice.replaced:
            self.on_replaced(entry)
        if changed:
            self.on_notice(entry, notice)

    def remaining_pause_s(self, engine_id: str) -> float:
        """Return the seconds left of the pause that an engine asked for."""
        pause = self._pauses_by_id.get(engine_id)
        if pause is None:
            return 0.0
        return max(0.0, pause.until_s - self._clock.monotonic())

    def blocked_engines(self, service: str) -> set[str]:
        """Return the engines of a service that this host must not use."""
        leaving = {
            entry.id
            for entry in self._cluster_state.registry.all_entries()
            if entry.service == service and entry.draining
        }
        paused = {
            engine_id
            for engine_id, pause in self._pauses_by_id.items()
            if pause.service == service and self.remaining_pause_s(engine_id) > 0
        }
        return leaving | paused

    def clear_pause(self, engine_id: str) -> None:
        """Clear the pause of an engine that was removed or has restarted."""
        self._pauses_by_id.pop(engine_id, None)

    def _start_pause(self, entry: EngineEntry, pause_s: float) -> None:
        """Start or extend the pause of an engine; never shorten it."""
        bounded_s = min(MAX_PAUSE_S, pause_s)
        now_s = self._clock.monotonic()
        current = self._pauses_by_id.get(entry.id)
        until_s = max(now_s + bounded_s, current.until_s if current else now_s)
        self._pauses_by_id[entry.id] = _Pause(entry.service, until_s)
        log_event(
            logger,
            "engine_paused",
            engine=entry.id,
            asked_s=round(pause_s, 2),
            pause_s=round(until_s - now_s, 2),
        )
