"""Infers how long a caller has waited since its first attempt.

Load pattern: refused callers retry after a load peak. Whether a response is
on time counts from the caller's first attempt, so a retry that is already
late must not take a slot from a request that can still be on time.

Requests carry the caller's remaining deadline. The deadlines of first
attempts differ by up to about a sixth of the longest one seen on the route. A
request with a clearly shorter one is a retry; its age is the difference to
the longest.
"""

from .caller_request import CallerRequest

__all__ = ["RequestAge"]

# First attempts on a route state deadlines within a sixth of each other. The
# bound is the same for all routes; it is not learned.
FIRST_ATTEMPT_SHARE = 0.82


class RequestAge:
    """Tracks the longest deadline seen on each route."""

    def __init__(self) -> None:
        self._max_deadline_ms_by_route: dict[str, int] = {}

    def age_ms(self, request: CallerRequest) -> int:
        """Return the time since the caller's first attempt.

        0 for a first attempt, and without a deadline.
        """
        deadline_ms = request.metadata.deadline_ms
        if deadline_ms is None:
            return 0
        route_name = request.route.name
        max_deadline_ms = max(
            self._max_deadline_ms_by_route.get(route_name, 0), deadline_ms
        )
        self._max_deadline_ms_by_route[route_name] = max_deadline_ms
        if deadline_ms >= FIRST_ATTEMPT_SHARE * max_deadline_ms:
            return 0
        return max_deadline_ms - deadline_ms

    def objective_left_ms(self, request: CallerRequest) -> int:
        """Return the time until the response is late; negative if it is."""
        return request.route.objective_ms - self.age_ms(request)
