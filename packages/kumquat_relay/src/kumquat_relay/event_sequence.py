"""Decides whether the events of a resumed run continue the stream.

The ids of a stream rise. Engines may count events or tokens, so the step
between two ids is learned from the stream itself, and from other streams of
its service until the caller has two events.
"""

from .event_steps import ServiceSteps

__all__ = ["EventSequence"]


class EventSequence:
    """The ids of the events that the caller has received.

    ``last_id`` is the last numeric id, at first that after which the caller
    itself resumes the stream.
    """

    def __init__(self, steps: ServiceSteps) -> None:
        self.last_id: int | None = None
        self._steps = steps
        self._events = 0
        self._last_event_has_id = False
        self._largest_step = 0
        # The step of the first event from the beginning of the stream, or from
        # the id after which the caller resumes it.
        self._first_step = 0
        self._run_events = 0
        self._continues = False

    @property
    def can_continue(self) -> bool:
        """Tell whether a run can go on exactly after the last event."""
        return self._events == 0 or self._last_event_has_id

    def begin_run(self) -> None:
        """Expect the events of another run, after those of earlier ones."""
        self._continues = self._events > 0
        self._run_events = 0

    def misplacement(self, event_id: int | None) -> str:
        """Return why an event does not belong here; empty if it does.

        The events of the first run are those of its engine, whatever they are.
        """
        if not self._continues or self.last_id is None:
            return ""
        if event_id is None:
            return "no_id" if self._run_events == 0 else ""
        if event_id <= self.last_id:
            return "repeated" if event_id == self.last_id else "went_back"
        if self._run_events == 0 and event_id > self.last_id + self._step_limit():
            return "skipped"
        return ""

    def _step_limit(self) -> int:
        """Return the largest step that the next event may make."""
        return self._largest_step or self._steps.limit(self._first_step)

    def record(self, event_id: int | None) -> None:
        """Record an event that the caller receives."""
        self._events += 1
        self._run_events += 1
        self._last_event_has_id = event_id is not None
        if event_id is None:
            return
        if self._events == 1:
            self._first_step = event_id - (self.last_id or 0)
        if self.last_id is not None and self._run_events > 1:
            step = event_id - self.last_id
            if step > self._largest_step:
                self._largest_step = step
                self._steps.record(step)
        self.last_id = event_id
