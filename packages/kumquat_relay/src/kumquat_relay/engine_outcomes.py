"""Records how engines served granted requests, at the owner of the service."""

import logging

from kumquat_core.clock import Clock
from kumquat_core.log_events import log_event
from kumquat_core.peer_messages import RunEnded

from .engine_health import EngineHealth, Failure
from .engine_probe import EngineProbe
from .relay_rules import RelayRules
from .run_ledger import RunLedger

__all__ = ["EngineOutcomes", "failure_of"]

SILENT = "silent"

logger = logging.getLogger(__name__)


class EngineOutcomes:
    """Tells the ledger and the health of engines what became of requests.

    A silence is no outcome for the ledger, which compares how often engines
    fail: a sound one that pauses falls silent under all its runs at once.
    """

    def __init__(
        self, clock: Clock, health: EngineHealth, probe: EngineProbe, rules: RelayRules
    ) -> None:
        self._clock = clock
        self._health = health
        self._probe = probe
        self._rules = rules

    def record_failure(
        self, ledger: RunLedger, engine_id: str, request_id: str, failure: Failure
    ) -> None:
        """Record a failure of an engine; log whether it is now avoided."""
        if failure is not Failure.UNREACHABLE:
            now_s = self._clock.monotonic()
            ledger.record_outcome(engine_id, request_id, failed=True, now_s=now_s)
        if self._health.record_failure(engine_id, failure):
            _log_avoided(engine_id, failure.name.lower())
        if failure is Failure.UNREACHABLE and self._rules.probes:
            self._probe.start(engine_id)

    def record_silence(self, engine_id: str) -> None:
        """Record a run that was given up since its engine fell silent."""
        if self._health.record_silence(engine_id):
            _log_avoided(engine_id, SILENT)

    def record_success(
        self, ledger: RunLedger, engine_id: str, request_id: str
    ) -> None:
        """Record a success of an engine and log if it was avoided."""
        if not engine_id:
            return
        now_s = self._clock.monotonic()
        ledger.record_outcome(engine_id, request_id, failed=False, now_s=now_s)
        if self._health.record_success(engine_id):
            _log_trusted(engine_id)

    def record_event(self, engine_id: str) -> None:
        """Record the first event of a run, which ends a silence."""
        if self._health.record_event(engine_id):
            _log_trusted(engine_id)


def failure_of(message: RunEnded) -> Failure:
    """Return how a run failed that was not given up for a silence."""
    if message.unreachable:
        return Failure.UNREACHABLE
    return Failure.ERROR_ANSWER if message.error_response else Failure.BROKEN


def _log_avoided(engine_id: str, failure: str) -> None:
    log_event(logger, "engine_avoided", engine=engine_id, failure=failure)


def _log_trusted(engine_id: str) -> None:
    log_event(logger, "engine_trusted_again", engine=engine_id)
