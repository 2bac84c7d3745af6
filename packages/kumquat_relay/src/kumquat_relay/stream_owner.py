"""The owner's side of admission to model engines.

Every host can own a service; it does when requests or reports of other hosts
reach it. A queue that was not asked for a while first waits until the hosts
have reported the runs they hold, since the engines may be full of them.
"""

import asyncio
import logging
from collections.abc import Callable
from dataclasses import dataclass, field

from kumquat_core.clock import Clock
from kumquat_core.log_events import log_event
from kumquat_core.peer_messages import (
    EngineNoticed,
    RunEnded,
    RunGrant,
    RunPrefilled,
    RunRefusal,
    RunRequest,
    RunsHeld,
    RunsNoted,
    RunStalled,
)

from .beliefs import Beliefs
from .engine_health import EngineHealth, Failure
from .engine_probe import EngineProbe
from .queue_types import Decision, Granted, QueueTerms, Refused
from .relay_rules import ALL_RULES, RelayRules
from .return_times import ReturnTimes
from .service_pace import ServicePace
from .stage_plan import Demand
from .stream_queue import StreamQueue

__all__ = ["StreamOwner"]

# All hosts report within one period after they turned to this owner.
SETTLE_S = 0.6
# Longer than the reports of a host that is alive are apart.
IDLE_S = 2.0
MIN_TIMER_S = 0.005
# A run whose place is not known here ends within about this time.
UNSURE_S = 4.0

logger = logging.getLogger(__name__)


@dataclass
class _Owned:
    queue: StreamQueue
    asked_s: float
    unsure_until_s: float = float("-inf")
    replies_by_id: dict[str, "asyncio.Future[RunGrant | RunRefusal]"] = field(
        default_factory=dict
    )
    timer: asyncio.TimerHandle | None = None


class StreamOwner:
    """The queues of the services that this host owns."""

    def __init__(
        self,
        host_id: str,
        clock: Clock,
        beliefs: Beliefs,
        health: EngineHealth,
        probe: EngineProbe,
        is_first: Callable[[str], bool] = lambda service: True,
        rules: RelayRules = ALL_RULES,
    ) -> None:
        self._rules = rules
        self._probe = probe
        probe.on_reached = self.engines_changed
        self._is_first = is_first
        self._host_id = host_id
        self._clock = clock
        self._beliefs = beliefs
        self._health = health
        self._owned_by_service: dict[str, _Owned] = {}

    async def admit(self, request: RunRequest, host_id: str) -> RunGrant | RunRefusal:
        """Return the decision on a request, possibly after a wait."""
        spec = self._beliefs.engine_spec(request.service)
        if spec is None:
            return RunRefusal(request.request_id, "no_engine_service", 500, 0)
        owned = self._owned(request.service)
        owned.queue.ledger.refresh(spec)
        reply: asyncio.Future[RunGrant | RunRefusal]
        reply = asyncio.get_running_loop().create_future()
        owned.replies_by_id[request.request_id] = reply
        now_s = self._clock.monotonic()
        self._carry_out(owned, owned.queue.add(request, host_id, now_s))
        try:
            return await reply
        except asyncio.CancelledError:
            # The asking host is gone or its caller left, unless it asks again
            # on another link.
            if owned.replies_by_id.get(request.request_id) is reply:
                owned.queue.ended(request.request_id, 0.0, self._clock.monotonic())
            raise
        finally:
            if owned.replies_by_id.get(request.request_id) is reply:
                del owned.replies_by_id[request.request_id]

    def prefilled(self, message: RunPrefilled) -> None:
        """Note that a prompt was read."""
        owned = self._owned(message.service)
        now_s = self._clock.monotonic()
        reader = owned.queue.ledger.reader_of(message.request_id)
        owned.queue.ledger.prefilled(message.request_id, message.read_ms, now_s)
        if reader and message.read_ms == 0:
            failure = Failure.UNREACHABLE if message.unreachable else Failure.BROKEN
            self._note_failure(owned, reader, message.request_id, failure)
        elif reader and message.read_ms > 0:
            self._note_success(owned, reader, message.request_id)
        self._carry_out(owned, owned.queue.advance(now_s))

    def ended(self, message: RunEnded) -> None:
        """Note that a request holds no place any more."""
        owned = self._owned(message.service)
        now_s = self._clock.monotonic()
        if message.failed_engine:
            self._note_failure(
                owned,
                message.failed_engine,
                message.request_id,
                _failure_of(message),
            )
        elif message.gap_ms > 0:
            engine_id = owned.queue.ledger.engine_of(message.request_id)
            self._note_success(owned, engine_id, message.request_id)
        owned.queue.ended(
            message.request_id, message.gap_ms, now_s, message.made_tokens
        )
        reply = owned.replies_by_id.get(message.request_id)
        if reply is not None and not reply.done():
            reply.set_result(RunRefusal(message.request_id, "withdrawn", 0, 0))
        if message.full_engine:
            owned.queue.ledger.engine_full(message.full_engine, now_s)
        self._carry_out(owned, owned.queue.advance(now_s))

    def stalled(self, message: RunStalled) -> None:
        """Note that a run makes no progress."""
        owned = self._owned(message.service)
        owned.queue.ledger.stalled(message.engine, self._clock.monotonic())
        log_event(
            logger,
            "run_stalled",
            request=message.request_id,
            engine=message.engine,
            silent_ms=message.silent_ms,
        )

    def noticed(self, message: EngineNoticed, host_id: str) -> None:
        """Grant nothing at an engine that leaves, or pauses for one host."""
        if message.leaving:
            self._beliefs.engine_leaves(message.engine, message.born_ms, source=host_id)
        if message.pause_ms > 0:
            owned = self._owned(message.service)
            now_s = self._clock.monotonic()
            until_s = now_s + message.pause_ms / 1000
            owned.queue.bar(host_id, message.engine, until_s, now_s)
            self._carry_out(owned, owned.queue.advance(now_s))

    def held(self, message: RunsHeld, host_id: str) -> RunsNoted:
        """Take over the runs that a host reports."""
        owned = self._owned(message.service)
        spec = self._beliefs.engine_spec(message.service)
        if spec is not None:
            owned.queue.ledger.refresh(spec)
        now_s = self._clock.monotonic()
        changed = owned.queue.confirm(host_id, message.runs, now_s)
        if changed:
            log_event(
                logger,
                "runs_reconciled",
                service=message.service,
                host=host_id,
                held=len(message.runs),
                changed=changed,
            )
            self._carry_out(owned, owned.queue.advance(now_s))
        return RunsNoted(
            self._host_id,
            owned.queue.ledger.free_places(),
            self._beliefs.outdated(),
            self._beliefs.version,
        )

    def sweep(self) -> None:
        """Drop runs of hosts that report no longer; end overdue changes."""
        now_s = self._clock.monotonic()
        for service, owned in self._owned_by_service.items():
            dropped = owned.queue.ledger.drop_unconfirmed(now_s)
            if dropped:
                log_event(logger, "runs_dropped", service=service, count=dropped)
            ended = owned.queue.ledger.end_changes(now_s)
            for engine_id in ended:
                log_event(logger, "role_change_overdue", engine=engine_id)
            if dropped or ended:
                self._carry_out(owned, owned.queue.advance(now_s))

    def engines_changed(self) -> None:
        """Use new engines at once."""
        for service, owned in self._owned_by_service.items():
            spec = self._beliefs.engine_spec(service)
            if spec is not None:
                owned.queue.ledger.refresh(spec)
                self._carry_out(owned, owned.queue.advance(self._clock.monotonic()))

    def demands(self) -> dict[str, Demand]:
        """Return the demand of the services that are asked for here."""
        oldest_s = self._clock.monotonic() - IDLE_S
        return {
            service: owned.queue.demand
            for service, owned in self._owned_by_service.items()
            if owned.asked_s >= oldest_s
        }

    def pace_of(self, service: str) -> ServicePace:
        """Return the learned pace of the engines of a service."""
        return self._owned_by_service[service].queue.ledger.pace

    def runs_of(self, service: str) -> dict[str, int]:
        """Return the number of runs at each engine of a service."""
        return self._owned_by_service[service].queue.ledger.runs_by_engine()

    def set_changing(self, service: str, engine_id: str, away_s: float) -> float:
        """Grant nothing at an engine while it changes its role.

        That takes ``away_s`` after its runs and ends when its entry shows the
        new role. Returns when it should be over at the latest.
        """
        ledger = self._owned_by_service[service].queue.ledger
        return ledger.set_changing(engine_id, away_s, self._clock.monotonic())

    def waiting_counts(self) -> dict[str, int]:
        """Return the number of waiting requests by service."""
        return {
            service: owned.queue.waiting_count
            for service, owned in self._owned_by_service.items()
        }

    def _is_unsure(self, owned: _Owned) -> bool:
        """Tell whether runs may hold places that this owner does not know."""
        if self._clock.monotonic() < owned.unsure_until_s:
            return True
        return not self._is_first(owned.queue.service)

    def _owned(self, service: str) -> _Owned:
        now_s = self._clock.monotonic()
        owned = self._owned_by_service.get(service)
        if owned is None:
            queue = StreamQueue(
                service,
                self._beliefs.registry,
                self._health,
                ReturnTimes(spreads=self._rules.return_times),
                QueueTerms(rules=self._rules),
            )
            owned = _Owned(queue, float("-inf"))
            self._owned_by_service[service] = owned
        if now_s - owned.asked_s > IDLE_S:
            owned.queue.pause(now_s + SETTLE_S)
            owned.unsure_until_s = now_s + UNSURE_S
            log_event(logger, "owner_begins", service=service, settle_s=SETTLE_S)
        owned.asked_s = now_s
        return owned

    def _carry_out(self, owned: _Owned, decisions: list[Decision]) -> None:
        for decision in decisions:
            self._log(decision, owned.queue)
            reply = owned.replies_by_id.get(decision.request_id)
            if reply is not None and not reply.done():
                reply.set_result(_message(decision, self._is_unsure(owned)))
        self._set_timer(owned)

    def _set_timer(self, owned: _Owned) -> None:
        if owned.timer is not None:
            owned.timer.cancel()
            owned.timer = None
        now_s = self._clock.monotonic()
        due_s = owned.queue.next_due_s(now_s)
        if due_s is not None:
            delay_s = max(MIN_TIMER_S, due_s - now_s)
            loop = asyncio.get_running_loop()
            owned.timer = loop.call_later(delay_s, self._on_timer, owned)

    def _on_timer(self, owned: _Owned) -> None:
        owned.timer = None
        self._carry_out(owned, owned.queue.advance(self._clock.monotonic()))

    def _note_failure(
        self, owned: _Owned, engine_id: str, request_id: str, failure: Failure
    ) -> None:
        if failure is not Failure.UNREACHABLE:
            now_s = self._clock.monotonic()
            ledger = owned.queue.ledger
            ledger.note_outcome(engine_id, request_id, failed=True, now_s=now_s)
        if self._health.failed(engine_id, failure):
            log_event(
                logger,
                "engine_avoided",
                engine=engine_id,
                failure=failure.name.lower(),
            )
        if failure is Failure.UNREACHABLE and self._rules.probes:
            self._probe.begin(engine_id)

    def _note_success(self, owned: _Owned, engine_id: str, request_id: str) -> None:
        if not engine_id:
            return
        now_s = self._clock.monotonic()
        ledger = owned.queue.ledger
        ledger.note_outcome(engine_id, request_id, failed=False, now_s=now_s)
        if self._health.succeeded(engine_id):
            log_event(logger, "engine_trusted_again", engine=engine_id)

    def _log(self, decision: Decision, queue: StreamQueue) -> None:
        match decision:
            case Granted():
                log_event(
                    logger,
                    "place_granted",
                    request=decision.request_id,
                    service=queue.service,
                    decode_engine=decision.decode.id,
                    prefill_engine=decision.prefill.id if decision.prefill else None,
                    waited_ms=round(decision.waited_s * 1000),
                    free_places=decision.free_places,
                    waiting=queue.waiting_count,
                )
            case Refused():
                log_event(
                    logger,
                    "place_refused",
                    request=decision.request_id,
                    service=queue.service,
                    reason=decision.reason,
                    retry_after_s=round(decision.retry_after_s, 2),
                    free_places=decision.free_places,
                    waiting=decision.waiting,
                )


def _failure_of(message: RunEnded) -> Failure:
    if message.unreachable:
        return Failure.UNREACHABLE
    return Failure.ERROR_ANSWER if message.error_answer else Failure.BROKEN


def _message(decision: Decision, unsure: bool) -> RunGrant | RunRefusal:
    match decision:
        case Granted():
            prefill = decision.prefill
            return RunGrant(
                decision.request_id,
                decision.decode.id,
                decision.decode.address.text,
                prefill.id if prefill else "",
                prefill.address.text if prefill else "",
                round(decision.waited_s * 1000),
                unsure,
            )
        case Refused():
            return RunRefusal(
                decision.request_id,
                decision.reason,
                round(decision.retry_after_s * 1000),
                decision.waiting,
            )
