"""Room that is kept for urgent requests while they are refused.

Load pattern: an overload lasts longer than urgent requests can wait. A place
that becomes free goes to whoever waits at that moment. These are mostly less
urgent requests, which may wait for seconds, while urgent ones with a short
objective find nothing free and are refused on arrival.

Each refusal of an urgent request keeps room for one more, so that the next one
finds a place; the room is given up again as soon as none is refused. A kind
that is served far less often than the more urgent ones is exempt, so that none
is starved.
"""

import math
from dataclasses import dataclass, field

from .learned_mean import LearnedMean

__all__ = ["NO_ROOM", "RECHECK_S", "KeptRoom", "PriorityReserve"]

# Room is halved in this time, in seconds: about the time between two refusals
# at which keeping one place pays.
HALF_LIFE_S = 2.0
# Part of the engines on which room is kept at most.
MAX_PART = 0.25
# A kind that is served less often than this part of a more urgent one's share
# is not restrained.
STARVED_PART = 0.4
# Less than half of a request is no room for one.
MIN_REQUESTS = 0.5
# An eighth of the half-life; room that is given up has no event of its own.
RECHECK_S = 0.25
# Weight of a request in the share that is served: some twenty make it up.
RATE = 0.05


@dataclass(frozen=True)
class KeptRoom:
    """Room for a number of requests, each of a usual size in tokens."""

    requests: int
    prompt_tokens: int
    output_tokens: int


NO_ROOM = KeptRoom(0, 0, 0)


def _size() -> LearnedMean:
    return LearnedMean(0.0, RATE)


@dataclass
class _Kind:
    """What is known of the requests of one priority."""

    prompt_tokens: LearnedMean = field(default_factory=_size)
    output_tokens: LearnedMean = field(default_factory=_size)
    served: float = 1.0
    kept: float = 0.0
    kept_s: float = float("-inf")

    def kept_at(self, now_s: float) -> float:
        """Return for how many requests room is kept."""
        if self.kept == 0.0:
            return 0.0
        halvings = (now_s - self.kept_s) / HALF_LIFE_S
        return self.kept * math.pow(0.5, halvings)


class PriorityReserve:
    """Kinds of requests by priority; the smallest number is most urgent."""

    def __init__(self, *, enabled: bool = True) -> None:
        self._enabled = enabled
        self._kinds_by_priority: dict[int, _Kind] = {}

    def observe(self, priority: int, prompt_tokens: int, output_tokens: int) -> None:
        """Note the size of a request."""
        kind = self._kinds_by_priority.setdefault(priority, _Kind())
        kind.prompt_tokens.observe(prompt_tokens)
        kind.output_tokens.observe(output_tokens)

    def granted(self, priority: int) -> None:
        """Note that a request got its place in time."""
        kind = self._kinds_by_priority.get(priority)
        if kind is not None:
            kind.served += RATE * (1.0 - kind.served)

    def refused(self, priority: int, engines: int, now_s: float) -> None:
        """Note that a request that came in time found no place."""
        kind = self._kinds_by_priority.get(priority)
        if kind is None:
            return
        kind.served -= RATE * kind.served
        kind.kept = min(engines * MAX_PART, kind.kept_at(now_s) + 1.0)
        kind.kept_s = now_s

    def keeps_room(self, now_s: float) -> bool:
        """Tell whether room is kept from any request."""
        kinds = self._kinds_by_priority.values()
        return self._enabled and any(
            kind.kept_at(now_s) >= MIN_REQUESTS for kind in kinds
        )

    def kept_from(self, priority: int, now_s: float, *, late: bool) -> KeptRoom:
        """Return the room that a request of this priority must leave.

        A late one leaves it to all kinds, its own included.
        """
        if not self._enabled:
            return NO_ROOM
        own = self._kinds_by_priority.get(priority, _Kind())
        kinds = [
            kind
            for other_priority, kind in self._kinds_by_priority.items()
            if late
            or (other_priority < priority and own.served >= STARVED_PART * kind.served)
        ]
        requests = sum(kind.kept_at(now_s) for kind in kinds)
        if requests < MIN_REQUESTS:
            return NO_ROOM
        return KeptRoom(
            round(requests),
            max(int(kind.prompt_tokens.value) for kind in kinds),
            max(int(kind.output_tokens.value) for kind in kinds),
        )
