"""The requests that a host has read and not answered yet.

Load pattern: a few hundred requests per second begin and end, and all of them
are listed only once, when the process exits. Each of those that are left then
is logged and counted as cut, so that no request ends without a line.
"""

import logging

from kumquat_core.clock import Clock
from kumquat_core.log_events import log_event

from .caller_request import CallerRequest
from .relay_metrics import RelayMetrics

__all__ = ["OpenRequests"]

logger = logging.getLogger(__name__)


class OpenRequests:
    """Requests by identity: two callers may send the same request id."""

    def __init__(self, clock: Clock, metrics: RelayMetrics) -> None:
        self._clock = clock
        self._metrics = metrics
        self._requests_by_identity: dict[int, CallerRequest] = {}

    def __len__(self) -> int:
        return len(self._requests_by_identity)

    def add(self, request: CallerRequest) -> None:
        """Record that a request was read."""
        self._requests_by_identity[id(request)] = request

    def remove(self, request: CallerRequest) -> None:
        """Record that a request has ended, with or without a response."""
        self._requests_by_identity.pop(id(request), None)

    def record_cut(self, request: CallerRequest) -> None:
        """Log and count a request that ends because its host exits."""
        self.remove(request)
        self._metrics.record_cut(request.route.kind.value)
        now_s = self._clock.monotonic()
        log_event(
            logger,
            "request_cut",
            level=logging.WARNING,
            request=request.id,
            route=request.route.name,
            ms=round((now_s - request.arrived_s) * 1000, 1),
            left_ms=request.left_ms(now_s),
        )

    def cut_all(self) -> None:
        """Log and count all requests that are left when the process exits."""
        for request in list(self._requests_by_identity.values()):
            self.record_cut(request)
