"""How long a caller has been waiting before this attempt.

Load pattern: refused callers return after a peak. An answer is on time only
when counted from the caller's first attempt, so an attempt that is already
late must not take a place from one that can still be on time.

Callers state how long they still wait. First attempts state different times,
within about a sixth of the longest one seen on their route. An attempt with
clearly less has been waiting, by the difference to the longest.
"""

from .caller_request import CallerRequest

__all__ = ["RequestAge"]

# First attempts of one kind of request state times within a sixth of each
# other on all deployments seen so far; it is not learned yet.
FIRST_ATTEMPT_SHARE = 0.82


class RequestAge:
    """Longest stated waiting times by route."""

    def __init__(self) -> None:
        self._longest_ms_by_route: dict[str, int] = {}

    def age_ms(self, request: CallerRequest) -> int:
        """Return the time since the caller's first attempt, if known."""
        deadline_ms = request.facts.deadline_ms
        if deadline_ms is None:
            return 0
        name = request.route.name
        longest_ms = max(self._longest_ms_by_route.get(name, 0), deadline_ms)
        self._longest_ms_by_route[name] = longest_ms
        if deadline_ms >= FIRST_ATTEMPT_SHARE * longest_ms:
            return 0
        return longest_ms - deadline_ms

    def objective_left_ms(self, request: CallerRequest) -> int:
        """Return the time until the answer is late; negative when it is."""
        return request.route.objective_ms - self.age_ms(request)
