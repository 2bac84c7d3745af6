"""Lets one request with a suspect prompt part run at a time.

Load pattern: after an engine has crashed, more requests with the suspected
part arrive before it is known whether the part was the cause. Each of them
could crash another engine, so they run one after the other, at engines with
few runs. Under a load that leaves no such engine, a trial is refused until
``PATIENCE_S`` after the crash, in which time the engine is back. A trial ends
with the first event of its answer.
"""

from collections.abc import Callable
from dataclasses import dataclass

from .crash_evidence import CrashHistory

__all__ = ["SuspectTrials"]

# Engines that have crashed are back within about this time.
PATIENCE_S = 4.0
# Part of its slots up to which an engine counts as one with few runs.
LOW_LOAD_SHARE = 0.25


@dataclass(frozen=True)
class _Trial:
    parts: frozenset[str]
    engine_id: str


class SuspectTrials:
    """The requests of one service that run on trial.

    ``is_running`` tells whether a request still holds its slot.
    ``history_of`` returns the history of crashes under some parts.
    """

    def __init__(self, is_running: Callable[[str], bool]) -> None:
        self._is_running = is_running
        self._trials_by_request: dict[str, _Trial] = {}
        self.history_of: Callable[[tuple[str, ...]], CrashHistory]
        self.history_of = lambda parts: CrashHistory()

    def may_start(self, parts: tuple[str, ...]) -> bool:
        """Return whether no request with one of the parts is on trial."""
        self._discard_ended()
        return not any(
            trial.parts.intersection(parts)
            for trial in self._trials_by_request.values()
        )

    def max_load_share(self, parts: tuple[str, ...], now_s: float) -> float:
        """Return up to which load an engine may take a trial."""
        is_recent = now_s - self.history_of(parts).first_s < PATIENCE_S
        return LOW_LOAD_SHARE if is_recent else 1.0

    def retry_after_s(self, parts: tuple[str, ...], now_s: float) -> float:
        """Return after which time a trial does not need a low load."""
        return max(0.0, self.history_of(parts).first_s + PATIENCE_S - now_s)

    def is_deferred(self, parts: tuple[str, ...], now_s: float) -> bool:
        """Return whether a trial that found no engine is refused for now."""
        return (
            bool(parts)
            and self.may_start(parts)
            and self.retry_after_s(parts, now_s) > 0
        )

    def start(self, request_id: str, parts: tuple[str, ...], engine_id: str) -> None:
        """Record that a request begins its trial at an engine."""
        self._trials_by_request[request_id] = _Trial(frozenset(parts), engine_id)

    def end(self, request_id: str) -> bool:
        """End a trial; return whether there was one."""
        return self._trials_by_request.pop(request_id, None) is not None

    def engine_ids(self) -> set[str]:
        """Return the engines at which requests are on trial."""
        if not self._trials_by_request:
            return set()
        self._discard_ended()
        return {trial.engine_id for trial in self._trials_by_request.values()}

    def _discard_ended(self) -> None:
        for request_id in list(self._trials_by_request):
            if not self._is_running(request_id):
                del self._trials_by_request[request_id]
