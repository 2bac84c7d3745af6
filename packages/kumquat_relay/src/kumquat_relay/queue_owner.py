"""The queue owner's side of admission to model engines.

Every host can own the queue of a service, and it does so as soon as requests
or reports of other hosts arrive. A queue that has received none for a while
first waits until the hosts have reported the runs they hold, because those
runs may occupy all slots of the engines.
"""

import asyncio
import logging
from collections.abc import Callable

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

from .cluster_state import ClusterState
from .crash_evidence import Verdict
from .crash_observer import CrashObserver
from .decision_messages import log_decision, to_message
from .engine_health import EngineHealth, Failure
from .engine_outcomes import EngineOutcomes, failure_of
from .engine_probe import EngineProbe
from .limit_owner import LimitOwner
from .owned_queue import OwnedQueue
from .prompt_quarantine import PromptQuarantine
from .queue_types import Decision, QueueParameters
from .relay_rules import ALL_RULES, RelayRules
from .report_period import OWNERSHIP_IDLE_S
from .retry_schedule import RetrySchedule
from .role_planner import Demand
from .service_performance import ServicePerformance
from .stream_queue import StreamQueue

__all__ = ["QueueOwner"]

# All hosts report within one period after they have selected this owner.
STARTUP_PAUSE_S = 0.6
MIN_TIMER_S = 0.005
# Runs that this owner does not know of end within about this time.
UNCERTAIN_S = 4.0

logger = logging.getLogger(__name__)


class QueueOwner:
    """Owns the queues of services and decides on the requests of all hosts."""

    def __init__(
        self,
        host_id: str,
        clock: Clock,
        cluster_state: ClusterState,
        health: EngineHealth,
        probe: EngineProbe,
        limits: LimitOwner,
        quarantine: PromptQuarantine,
        observer: CrashObserver,
        is_preferred_owner: Callable[[str], bool] = lambda service: True,
        rules: RelayRules = ALL_RULES,
    ) -> None:
        self._rules = rules
        self._outcomes = EngineOutcomes(clock, health, probe, rules)
        probe.on_connected = self.engines_changed
        self._limits = limits
        limits.on_change = self._limits_changed
        self._quarantine = quarantine
        quarantine.on_change = self._evidence_changed
        quarantine.hosts_of = self._hosts_of
        self._observer = observer
        observer.runs_at = self._runs_at
        self._is_preferred_owner = is_preferred_owner
        self._host_id = host_id
        self._clock = clock
        self._cluster_state = cluster_state
        self._health = health
        self._owned_queues_by_service: dict[str, OwnedQueue] = {}

    async def admit(self, request: RunRequest, host_id: str) -> RunGrant | RunRefusal:
        """Queue a request and return the decision on it."""
        spec = self._cluster_state.engine_spec(request.service)
        if spec is None:
            return RunRefusal(request.request_id, "no_engine_service", 500, 0)
        owned = self._owned_queue(request.service)
        owned.queue.ledger.refresh(spec)
        reply: asyncio.Future[RunGrant | RunRefusal]
        reply = asyncio.get_running_loop().create_future()
        owned.replies_by_id[request.request_id] = reply
        now_s = self._clock.monotonic()
        self._apply_decisions(owned, owned.queue.add(request, host_id, now_s))
        try:
            return await reply
        except asyncio.CancelledError:
            # The requesting host or its caller has disconnected, unless the
            # host has repeated the request on another link.
            if owned.replies_by_id.get(request.request_id) is reply:
                owned.queue.ended(request.request_id, 0.0, self._clock.monotonic())
            raise
        finally:
            if owned.replies_by_id.get(request.request_id) is reply:
                del owned.replies_by_id[request.request_id]

    def on_prefilled(self, message: RunPrefilled) -> None:
        """Record the outcome of a prefill."""
        owned = self._owned_queue(message.service)
        now_s = self._clock.monotonic()
        prefill_engine_id = owned.queue.ledger.prefill_engine_of(message.request_id)
        owned.queue.ledger.record_prefill(message.request_id, message.prefill_ms, now_s)
        if prefill_engine_id and message.prefill_ms == 0:
            failure = Failure.UNREACHABLE if message.unreachable else Failure.BROKEN
            self._outcomes.record_failure(
                owned.queue.ledger, prefill_engine_id, message.request_id, failure
            )
        elif prefill_engine_id and message.prefill_ms > 0:
            self._outcomes.record_success(
                owned.queue.ledger, prefill_engine_id, message.request_id
            )
        elif message.prefill_ms > 0:
            engine_id = owned.queue.ledger.decode_engine_of(message.request_id)
            self._outcomes.record_event(engine_id)
            if owned.queue.trials.end(message.request_id):
                log_event(logger, "trial_answered", request=message.request_id)
        self._apply_decisions(owned, owned.queue.advance(now_s))

    def on_run_ended(self, message: RunEnded) -> None:
        """Release the slot of a request or remove it from the queue."""
        owned = self._owned_queue(message.service)
        now_s = self._clock.monotonic()
        ledger = owned.queue.ledger
        if message.failed_engine and message.silent:
            self._outcomes.record_silence(message.failed_engine)
        elif message.failed_engine:
            failure = failure_of(message)
            if failure is Failure.BROKEN:
                self._observer.record_broken_run(message.failed_engine)
            self._outcomes.record_failure(
                ledger, message.failed_engine, message.request_id, failure
            )
        elif message.gap_ms > 0:
            engine_id = ledger.decode_engine_of(message.request_id)
            self._outcomes.record_success(ledger, engine_id, message.request_id)
        owned.queue.ended(
            message.request_id, message.gap_ms, now_s, message.generated_tokens
        )
        reply = owned.replies_by_id.get(message.request_id)
        if reply is not None and not reply.done():
            reply.set_result(RunRefusal(message.request_id, "withdrawn", 0, 0))
        if message.full_engine:
            owned.queue.ledger.record_engine_full(message.full_engine, now_s)
        self._apply_decisions(owned, owned.queue.advance(now_s))

    def on_stalled(self, message: RunStalled) -> None:
        """Record that a run makes no progress."""
        owned = self._owned_queue(message.service)
        owned.queue.ledger.record_stall(message.engine, self._clock.monotonic())
        log_event(
            logger,
            "run_stalled",
            request=message.request_id,
            engine=message.engine,
            silent_ms=message.silent_ms,
        )

    def apply_notice(self, message: EngineNoticed, host_id: str) -> None:
        """Apply a notice that a host has received from an engine.

        A leaving engine gets no new work; a pausing one none of that host.
        """
        if message.leaving:
            self._cluster_state.mark_engine_leaving(
                message.engine, message.born_ms, source=host_id
            )
        if message.pause_ms > 0:
            owned = self._owned_queue(message.service)
            now_s = self._clock.monotonic()
            until_s = now_s + message.pause_ms / 1000
            owned.queue.block(host_id, message.engine, until_s, now_s)
            self._apply_decisions(owned, owned.queue.advance(now_s))

    def apply_report(self, message: RunsHeld, host_id: str) -> RunsNoted:
        """Reconcile the ledger with the runs that a host reports."""
        owned = self._owned_queue(message.service)
        spec = self._cluster_state.engine_spec(message.service)
        if spec is not None:
            owned.queue.ledger.refresh(spec)
        now_s = self._clock.monotonic()
        changed = owned.queue.reconcile(host_id, message.runs, now_s)
        if changed:
            log_event(
                logger,
                "runs_reconciled",
                service=message.service,
                host=host_id,
                held=len(message.runs),
                changed=changed,
            )
            self._apply_decisions(owned, owned.queue.advance(now_s))
        return RunsNoted(
            self._host_id,
            owned.queue.ledger.free_slots(),
            self._cluster_state.outdated(),
            self._cluster_state.version,
            self._limits.apply_report(message, host_id),
            self._quarantine.digest(message.service),
            self._cluster_state.later_era(),
        )

    def drop_expired(self) -> None:
        """Remove runs that no host reports and end overdue role changes."""
        now_s = self._clock.monotonic()
        for service, owned in self._owned_queues_by_service.items():
            dropped = owned.queue.ledger.remove_unconfirmed(now_s)
            if dropped:
                log_event(logger, "runs_dropped", service=service, count=dropped)
            ended = owned.queue.ledger.end_overdue_role_changes(now_s)
            for engine_id in ended:
                log_event(logger, "role_change_overdue", engine=engine_id)
            if dropped or ended:
                self._apply_decisions(owned, owned.queue.advance(now_s))

    def engines_changed(self) -> None:
        """Refresh the engines of all queues and decide again at once."""
        for service, owned in self._owned_queues_by_service.items():
            spec = self._cluster_state.engine_spec(service)
            if spec is not None:
                owned.queue.ledger.refresh(spec)
                self._apply_decisions(
                    owned, owned.queue.advance(self._clock.monotonic())
                )

    def _evidence_changed(self, service: str) -> None:
        """Refuse requests that would crash engines, and decide again."""
        owned = self._owned_queues_by_service.get(service)
        if owned is None:
            return
        now_s = self._clock.monotonic()
        refused = owned.queue.refuse_quarantined(
            lambda parts: (
                self._quarantine.verdict_on_parts(service, parts) is Verdict.REFUSED
            ),
            now_s,
        )
        self._apply_decisions(owned, refused + owned.queue.advance(now_s))

    def _hosts_of(self, service: str) -> set[str]:
        owned = self._owned_queues_by_service.get(service)
        return owned.queue.host_ids() if owned is not None else set()

    def _runs_at(self, service: str, engine_id: str) -> int:
        owned = self._owned_queues_by_service.get(service)
        return owned.runs_at(engine_id) if owned is not None else 0

    def _limits_changed(self, service: str) -> None:
        """Decide again, since more or fewer grants are possible."""
        owned = self._owned_queues_by_service.get(service)
        if owned is not None:
            self._apply_decisions(owned, owned.queue.advance(self._clock.monotonic()))

    def demands(self) -> dict[str, Demand]:
        """Return the demand of the services that this host owns now."""
        oldest_s = self._clock.monotonic() - OWNERSHIP_IDLE_S
        return {
            service: owned.queue.demand
            for service, owned in self._owned_queues_by_service.items()
            if owned.last_used_s >= oldest_s
        }

    def performance_of(self, service: str) -> ServicePerformance:
        """Return the learned performance of the engines of a service."""
        return self._owned_queues_by_service[service].queue.ledger.performance

    def has_limits(self, service: str) -> bool:
        """Return whether an engine of a service has named a limit."""
        limits = self._limits.limits_of(service).limits()
        return any(limit.service == service for limit in limits)

    def runs_of(self, service: str) -> dict[str, int]:
        """Return the number of runs at each engine of a service."""
        return self._owned_queues_by_service[service].queue.ledger.runs_by_engine()

    def begin_role_change(
        self, service: str, engine_id: str, unavailable_s: float
    ) -> float:
        """Stop granting at an engine while it changes its role.

        The change takes ``unavailable_s`` after the end of its runs, and it is
        over when its entry shows the new role. Returns the expected end.
        """
        ledger = self._owned_queues_by_service[service].queue.ledger
        return ledger.begin_role_change(
            engine_id, unavailable_s, self._clock.monotonic()
        )

    def waiting_counts(self) -> dict[str, int]:
        """Return the number of waiting requests by service."""
        return {
            service: owned.queue.waiting_count
            for service, owned in self._owned_queues_by_service.items()
        }

    def _is_uncertain(self, owned: OwnedQueue) -> bool:
        """Return whether runs unknown to this owner may hold slots."""
        if self._clock.monotonic() < owned.uncertain_until_s:
            return True
        return not self._is_preferred_owner(owned.queue.service)

    def _owned_queue(self, service: str) -> OwnedQueue:
        """Return the queue of a service; create or restart it if needed."""
        now_s = self._clock.monotonic()
        owned = self._owned_queues_by_service.get(service)
        if owned is None:
            queue = StreamQueue(
                service,
                self._cluster_state.registry,
                self._health,
                RetrySchedule(spread_retries=self._rules.return_times),
                QueueParameters(rules=self._rules),
                self._limits.limits_of(service),
            )
            queue.trials.history_of = lambda parts: self._quarantine.history(
                service, parts
            )
            owned = OwnedQueue(queue, float("-inf"))
            self._owned_queues_by_service[service] = owned
        if now_s - owned.last_used_s > OWNERSHIP_IDLE_S:
            owned.queue.pause(now_s + STARTUP_PAUSE_S)
            owned.uncertain_until_s = now_s + UNCERTAIN_S
            log_event(logger, "owner_begins", service=service, settle_s=STARTUP_PAUSE_S)
        owned.last_used_s = now_s
        return owned

    def _apply_decisions(self, owned: OwnedQueue, decisions: list[Decision]) -> None:
        """Reply with the decisions and set the timer for the next ones."""
        for decision in decisions:
            log_decision(decision, owned.queue.service, owned.queue.waiting_count)
            reply = owned.replies_by_id.get(decision.request_id)
            if reply is not None and not reply.done():
                digest = self._quarantine.digest(owned.queue.service)
                reply.set_result(
                    to_message(decision, self._is_uncertain(owned), digest)
                )
        self._set_timer(owned)

    def _set_timer(self, owned: OwnedQueue) -> None:
        """Restart the timer for the time at which the queue must decide."""
        if owned.timer is not None:
            owned.timer.cancel()
            owned.timer = None
        now_s = self._clock.monotonic()
        due_s = owned.queue.next_due_s(now_s)
        if due_s is not None:
            delay_s = max(MIN_TIMER_S, due_s - now_s)
            loop = asyncio.get_running_loop()
            owned.timer = loop.call_later(delay_s, self._on_timer, owned)

    def _on_timer(self, owned: OwnedQueue) -> None:
        owned.timer = None
        self._apply_decisions(owned, owned.queue.advance(self._clock.monotonic()))
