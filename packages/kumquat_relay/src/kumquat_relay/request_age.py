"""How long a caller has been waiting before this attempt.

Load pattern: refused callers return after a peak. An answer is on time only
when counted from the caller's first attempt, so an attempt that is already
late must not take a place from one that can still be on time.

Callers state how long they still wait. The longest time seen on a route is
taken as that of a first attempt; an attempt with less is older by the
difference.
"""

from .caller_request import CallerRequest

__all__ = ["RequestAge"]

# Callers state their time when they send; the way here takes some of it.
TOLERANCE_MS = 25


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
        age_ms = longest_ms - deadline_ms
        return age_ms if age_ms > TOLERANCE_MS else 0

    def objective_left_ms(self, request: CallerRequest) -> int:
        """Return the time until the answer is late; negative when it is."""
        return request.route.objective_ms - self.age_ms(request)
