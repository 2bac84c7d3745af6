"""Counts what this host sends to plain servers and how it ends.

Load pattern: one or two requests a second, many of them open for a moment
only. A report takes the counts since the last one.
"""

from collections.abc import Collection, Iterable
from dataclasses import dataclass, field
from enum import Enum

from kumquat_core.load_messages import ServerLoad

__all__ = ["SendCounts", "SendOutcome"]


class SendOutcome(Enum):
    """How a request that was sent to a server ended.

    ``UNKNOWN`` tells nothing about the server, such as a caller that left.
    """

    ANSWERED = "answered"
    FAILED = "failed"
    REFUSED = "refused"
    UNKNOWN = "unknown"


@dataclass
class _ServerCounts:
    """Counts since the last report, open requests and the last response."""

    sent: int = 0
    ended: dict[SendOutcome, int] = field(
        default_factory=lambda: dict.fromkeys(SendOutcome, 0)
    )
    latency_sum_ms: float = 0.0
    open_since_s: list[float] = field(default_factory=list)
    last_answer_s: float | None = None

    def begin(self) -> None:
        """Begin new counts; requests that are open stay so."""
        self.sent = 0
        self.ended = dict.fromkeys(SendOutcome, 0)
        self.latency_sum_ms = 0.0
        self.last_answer_s = None

    @property
    def has_news(self) -> bool:
        """Tell whether there is anything to report."""
        return bool(self.sent or self.open_since_s or any(self.ended.values()))


class SendCounts:
    """Counts by server id."""

    def __init__(self) -> None:
        self._counts_by_id: dict[str, _ServerCounts] = {}

    def record_send(self, engine_id: str, now_s: float) -> None:
        """Record that a request is sent."""
        counts = self._counts_of(engine_id)
        counts.sent += 1
        counts.open_since_s.append(now_s)

    def record_end(
        self,
        engine_id: str,
        outcome: SendOutcome,
        latency_ms: float | None,
        began_s: float,
        now_s: float,
    ) -> None:
        """Record the end of a request that was sent at ``began_s``."""
        counts = self._counts_of(engine_id)
        if began_s in counts.open_since_s:
            counts.open_since_s.remove(began_s)
        counts.ended[outcome] += 1
        if outcome is SendOutcome.ANSWERED and latency_ms is not None:
            counts.latency_sum_ms += latency_ms
            counts.last_answer_s = now_s

    def record_unreachable(self, engine_id: str) -> None:
        """Record that a server could not be connected to."""
        self._counts_of(engine_id).ended[SendOutcome.FAILED] += 1

    def open_requests(self, engine_id: str) -> int:
        """Return the number of requests that are open at a server."""
        counts = self._counts_by_id.get(engine_id)
        return len(counts.open_since_s) if counts is not None else 0

    def has_news(self, engine_ids: Iterable[str]) -> bool:
        """Tell whether there is anything to report on these servers."""
        counts = (self._counts_by_id.get(engine_id) for engine_id in engine_ids)
        return any(item.has_news for item in counts if item is not None)

    def take(self, engine_ids: Iterable[str], now_s: float) -> tuple[ServerLoad, ...]:
        """Return the counts of these servers and begin new ones."""
        return tuple(
            self._take(engine_id, counts, now_s)
            for engine_id in engine_ids
            if (counts := self._counts_by_id.get(engine_id)) is not None
            and counts.has_news
        )

    def _take(self, engine_id: str, counts: _ServerCounts, now_s: float) -> ServerLoad:
        opened, answered_s = counts.open_since_s, counts.last_answer_s
        answered = counts.ended[SendOutcome.ANSWERED]
        load = ServerLoad(
            engine_id,
            counts.sent,
            answered,
            counts.ended[SendOutcome.FAILED],
            counts.ended[SendOutcome.REFUSED],
            round(counts.latency_sum_ms / max(1, answered), 1),
            round((now_s - min(opened)) * 1000) if opened else 0,
            round((now_s - answered_s) * 1000) if answered_s is not None else 0,
            len(opened),
        )
        counts.begin()
        return load

    def discard_except(self, engine_ids: Collection[str]) -> None:
        """Begin new counts of all other servers, which are not reported."""
        for engine_id, counts in self._counts_by_id.items():
            if engine_id not in engine_ids:
                counts.begin()

    def remove(self, engine_id: str) -> None:
        """Delete the counts of a server that was removed."""
        self._counts_by_id.pop(engine_id, None)

    def _counts_of(self, engine_id: str) -> _ServerCounts:
        return self._counts_by_id.setdefault(engine_id, _ServerCounts())
