"""The limits for callers that are in force, and those that were before.

Load pattern: a limit is looked up for each connection that becomes idle and
each request, and changes at most a few times per second.

A connection may have been idle, or a request on its way, since before a
change. What its caller was allowed in that time is still granted to it.
"""

from kumquat_core.clock import Clock

from .routes import CallerLimits

__all__ = ["DEFAULT_LIMITS", "LimitHistory", "widest"]

# Apply until the first configuration is received.
DEFAULT_LIMITS = CallerLimits(16384, 4 * 1024 * 1024, 3000, 15000)
# Earlier limits are merged, so that changes in quick succession cost bounded
# memory.
MAX_ENDED = 32


class LimitHistory:
    """The limits for callers; ``current`` are those in force."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self.current = DEFAULT_LIMITS
        # The earlier limits and when they ended, in order.
        self._ended: list[tuple[float, CallerLimits]] = []

    def change(self, limits: CallerLimits) -> None:
        """Put limits in force."""
        if limits == self.current:
            return
        self._ended.append((self._clock.monotonic(), self.current))
        self.current = limits
        if len(self._ended) > MAX_ENDED:
            (_, first), (ended_s, second), *others = self._ended
            self._ended = [(ended_s, widest(first, second)), *others]

    def widest_over_last(self, seconds: float) -> CallerLimits:
        """Return the widest limits that were in force in the last seconds."""
        since_s = self._clock.monotonic() - seconds
        limits = self.current
        for ended_s, ended in reversed(self._ended):
            if ended_s < since_s:
                break
            limits = widest(limits, ended)
        return limits


def widest(first: CallerLimits, second: CallerLimits) -> CallerLimits:
    """Return the larger one of each limit."""
    return CallerLimits(
        max(first.max_header_bytes, second.max_header_bytes),
        max(first.max_body_bytes, second.max_body_bytes),
        max(first.header_timeout_ms, second.header_timeout_ms),
        max(first.idle_timeout_ms, second.idle_timeout_ms),
    )
