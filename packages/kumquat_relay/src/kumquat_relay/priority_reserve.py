"""Reserves capacity for urgent requests while they are being refused.

Load pattern: an overload lasts longer than urgent requests can wait. A slot
that becomes free goes to a request in the queue at that moment. Most of these
are less urgent and may wait for seconds, while urgent ones with a short
objective find no free slot and are refused on arrival.

Each refusal of an urgent request reserves capacity for one more, so that the
next one finds a slot. The reservation decays once none is refused. A priority
class that is served far less often than more urgent ones is exempt from their
reservations, which prevents starvation.
"""

import math
from dataclasses import dataclass, field

from .running_mean import RunningMean

__all__ = [
    "NOTHING_RESERVED",
    "RECHECK_INTERVAL_S",
    "ReservedCapacity",
    "PriorityReserve",
]

# A reservation is halved in this time, in seconds: about the time between two
# refusals at which reserving one slot pays off.
HALF_LIFE_S = 2.0
# Largest fraction of the engines on which a class reserves capacity.
MAX_ENGINE_SHARE = 0.25
# A class is exempt from the reservations of a more urgent one if its share of
# requests served is below this fraction of the other's.
STARVATION_SHARE = 0.4
# Smaller reservations are ignored: less than half a request.
MIN_RESERVED_REQUESTS = 0.5
# An eighth of the half-life, in seconds; no event marks the decay of a
# reservation.
RECHECK_INTERVAL_S = 0.25
# Weight of the latest request in the means of a class: about twenty requests
# make up most of each mean.
LEARNING_RATE = 0.05


@dataclass(frozen=True)
class ReservedCapacity:
    """Capacity for a number of requests, each of the given token counts."""

    requests: int
    prompt_tokens: int
    output_tokens: int


NOTHING_RESERVED = ReservedCapacity(0, 0, 0)


def _mean_size() -> RunningMean:
    return RunningMean(0.0, LEARNING_RATE)


@dataclass
class _PriorityClass:
    """Learned sizes, share served and reservation of one priority."""

    prompt_tokens: RunningMean = field(default_factory=_mean_size)
    output_tokens: RunningMean = field(default_factory=_mean_size)
    served_share: float = 1.0
    reserved_requests: float = 0.0
    updated_s: float = float("-inf")

    def reserved_requests_at(self, now_s: float) -> float:
        """Return for how many requests capacity is reserved at ``now_s``."""
        if self.reserved_requests == 0.0:
            return 0.0
        halvings = (now_s - self.updated_s) / HALF_LIFE_S
        return self.reserved_requests * math.pow(0.5, halvings)


class PriorityReserve:
    """Reserves capacity by priority; the smallest number is most urgent."""

    def __init__(self, *, enabled: bool = True) -> None:
        self._enabled = enabled
        self._classes_by_priority: dict[int, _PriorityClass] = {}

    def observe(self, priority: int, prompt_tokens: int, output_tokens: int) -> None:
        """Update the mean request size of a priority."""
        priority_class = self._classes_by_priority.setdefault(
            priority, _PriorityClass()
        )
        priority_class.prompt_tokens.observe(prompt_tokens)
        priority_class.output_tokens.observe(output_tokens)

    def record_grant(self, priority: int) -> None:
        """Record that a request was granted a slot on time."""
        priority_class = self._classes_by_priority.get(priority)
        if priority_class is not None:
            priority_class.served_share += LEARNING_RATE * (
                1.0 - priority_class.served_share
            )

    def record_refusal(self, priority: int, engines: int, now_s: float) -> None:
        """Record that a request that arrived on time got no slot.

        Reserves capacity for one more request, within a fraction of
        ``engines``.
        """
        priority_class = self._classes_by_priority.get(priority)
        if priority_class is None:
            return
        priority_class.served_share -= LEARNING_RATE * priority_class.served_share
        priority_class.reserved_requests = min(
            engines * MAX_ENGINE_SHARE, priority_class.reserved_requests_at(now_s) + 1.0
        )
        priority_class.updated_s = now_s

    def has_reservations(self, now_s: float) -> bool:
        """Return whether any capacity is reserved."""
        priority_classes = self._classes_by_priority.values()
        return self._enabled and any(
            priority_class.reserved_requests_at(now_s) >= MIN_RESERVED_REQUESTS
            for priority_class in priority_classes
        )

    def reserved_against(
        self, priority: int, now_s: float, *, late: bool
    ) -> ReservedCapacity:
        """Return the capacity that a request of this priority must leave.

        A late request leaves the reservations of all priorities, its own
        included.
        """
        if not self._enabled:
            return NOTHING_RESERVED
        own = self._classes_by_priority.get(priority, _PriorityClass())
        priority_classes = [
            priority_class
            for other_priority, priority_class in self._classes_by_priority.items()
            if late
            or (
                other_priority < priority
                and own.served_share >= STARVATION_SHARE * priority_class.served_share
            )
        ]
        requests = sum(
            priority_class.reserved_requests_at(now_s)
            for priority_class in priority_classes
        )
        if requests < MIN_RESERVED_REQUESTS:
            return NOTHING_RESERVED
        return ReservedCapacity(
            round(requests),
            max(
                int(priority_class.prompt_tokens.value)
                for priority_class in priority_classes
            ),
            max(
                int(priority_class.output_tokens.value)
                for priority_class in priority_classes
            ),
        )
