"""The requests that run at each engine, and those that recently broke off.

Load pattern: an engine falls silent and comes back as a new incarnation, so
nothing shows at its connections that it has ended. The store shows it some
seconds later. Until then a pause of the engine looks the same.
"""

from collections import deque
from dataclasses import dataclass

from kumquat_core.clock import Clock

from .caller_request import CallerRequest
from .engine_registry import EngineEntry

__all__ = ["EngineRun", "EngineRuns"]

# The store shows the end of an engine after three of its heartbeats.
KEPT_S = 15.0
MAX_ENGINES = 64
MAX_RUNS_OF_ENGINE = 16


@dataclass(frozen=True)
class EngineRun:
    """A request at an engine incarnation.

    ``parts`` are those of its prompt that may crash engines, and its mark.
    """

    service: str
    parts: tuple[str, ...]
    entry: EngineEntry
    trial: bool


@dataclass(frozen=True)
class _OpenRun:
    request: CallerRequest
    entry: EngineEntry
    trial: bool


class EngineRuns:
    """Open and broken runs by engine incarnation.

    A stream has two open runs while another engine takes over a silent one.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        # By request id, and by engine incarnation.
        self._open_by_request_id: dict[str, dict[str, _OpenRun]] = {}
        self._broken_by_incarnation: dict[str, deque[tuple[float, EngineRun]]] = {}

    def begin(self, request: CallerRequest, entry: EngineEntry, *, trial: bool) -> None:
        """Record that a request is sent to an engine."""
        runs = self._open_by_request_id.setdefault(request.id, {})
        runs[entry.incarnation] = _OpenRun(request, entry, trial)

    def end(self, request_id: str, entry: EngineEntry | None = None) -> None:
        """Record that an engine, or all, have no run of a request any more."""
        runs = self._open_by_request_id.get(request_id, {})
        if entry is not None:
            runs.pop(entry.incarnation, None)
        if entry is None or not runs:
            self._open_by_request_id.pop(request_id, None)

    def record_answer(self, entry: EngineEntry) -> None:
        """Record that an engine lives, so no run before can have ended it."""
        self._broken_by_incarnation.pop(entry.incarnation, None)

    def record_broken(self, run: EngineRun) -> None:
        """Keep a run that got no whole answer."""
        now_s = self._clock.monotonic()
        self._expire(now_s)
        runs = self._broken_by_incarnation.setdefault(
            run.entry.incarnation, deque(maxlen=MAX_RUNS_OF_ENGINE)
        )
        runs.append((now_s, run))
        while len(self._broken_by_incarnation) > MAX_ENGINES:
            del self._broken_by_incarnation[next(iter(self._broken_by_incarnation))]

    def take_ended(
        self, engine_id: str, born_ms: int | None
    ) -> tuple[list[_OpenRun], list[EngineRun]]:
        """Return the open and the broken runs at engines that have ended.

        These are the incarnations with an id, except that born at ``born_ms``.
        """
        self._expire(self._clock.monotonic())

        def has_ended(entry: EngineEntry) -> bool:
            return entry.id == engine_id and entry.born_ms != born_ms

        broken: list[EngineRun] = []
        for incarnation, runs in list(self._broken_by_incarnation.items()):
            if has_ended(runs[0][1].entry):
                broken += [run for _, run in runs]
                del self._broken_by_incarnation[incarnation]
        open_runs = [
            run
            for runs in self._open_by_request_id.values()
            for run in runs.values()
            if has_ended(run.entry)
        ]
        return open_runs, broken

    def _expire(self, now_s: float) -> None:
        for incarnation, runs in list(self._broken_by_incarnation.items()):
            if runs[-1][0] < now_s - KEPT_S:
                del self._broken_by_incarnation[incarnation]
