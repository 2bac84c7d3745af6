"""Learns the steps between the event ids of a service from its streams.

Load pattern: a stream breaks off after its first event and goes on at another
engine. Engines may count events or tokens, so this stream alone does not tell
whether the first id of the other engine comes next or skips an event.
"""

from collections import deque

__all__ = ["EventSteps", "ServiceSteps"]

# Streams whose largest steps are kept. A single odd id is forgotten after as
# many others.
KEPT_STEPS = 64


class ServiceSteps:
    """The largest steps of the recent streams of one service.

    ``longest`` is the step of ids that count all tokens of a full event.
    """

    def __init__(self, longest: int = 1) -> None:
        self.longest = longest
        self._steps: deque[int] = deque(maxlen=KEPT_STEPS)

    def limit(self, first_step: int) -> int:
        """Return the largest step that the second event of a stream may make.

        ``first_step`` is that of its first event, below 1 if ids begin at 0.
        Until another stream has shown more, the second is no longer: an event
        that is missing is worse than a stream that ends broken.
        """
        if self._steps:
            return max(self._steps)
        return min(self.longest, first_step) if first_step > 0 else self.longest

    def record(self, step: int) -> None:
        """Record the largest step so far of a stream."""
        self._steps.append(step)


class EventSteps:
    """The steps of all services of this host."""

    def __init__(self) -> None:
        self._steps_by_service: dict[str, ServiceSteps] = {}

    def of_service(self, service: str, tokens_per_event: int) -> ServiceSteps:
        """Return the steps of a service, whose configuration may change."""
        steps = self._steps_by_service.setdefault(service, ServiceSteps())
        steps.longest = max(1, tokens_per_event)
        return steps
