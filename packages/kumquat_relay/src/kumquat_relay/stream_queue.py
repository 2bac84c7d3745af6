"""Admission queue for the slots of a service with model engines.

Load pattern: during a load peak two to four times as many streams arrive as
there are slots, for some seconds; then the load falls below the capacity
again. A response that begins after its objective is worth a fraction of one
on time, and a caller disconnects when no event arrives for too long.

Requests that can still meet their objective are served first, by priority and
then by latest start; late requests use the remaining slots. A request that
cannot begin in time is refused on arrival and told to retry after the load
peak. A request that fits an engine now and whose time has not run out is
granted a slot, not refused. A request whose time runs out in the queue is
refused at that moment. Before that, a decode engine prefills the prompt itself
if the prefill engines cannot in time and if no running stream pauses for too
long because of it.

The queue reads no clock and does no I/O: callers pass the time, and each call
returns the resulting ``Decision`` objects.
"""

import math
from collections.abc import Callable, Sequence
from dataclasses import replace

from kumquat_core.peer_messages import HeldRun, RunRequest

from .engine_health import EngineHealth
from .engine_load import EngineLoad
from .engine_registry import EngineRegistry
from .placement import Placement
from .priority_reserve import NOTHING_RESERVED, RECHECK_INTERVAL_S, PriorityReserve
from .queue_types import (
    QUARANTINED,
    TRIAL_DEFERRED,
    Decision,
    Granted,
    QueuedRequest,
    QueueParameters,
    Refused,
)
from .queue_wait import QueueWait
from .retry_schedule import RetrySchedule
from .role_planner import Demand
from .run_ledger import RunLedger
from .server_limits import ServerLimits
from .suspect_trials import SuspectTrials

__all__ = ["StreamQueue"]

# Refusals that show a shortage of slots. The other reasons say nothing about
# the slots left for late requests.
SHORTAGE_REASONS = ("objective_missed", "waited_too_long")


class StreamQueue:
    """Grants the slots of one service's engines and queues its requests."""

    def __init__(
        self,
        service: str,
        registry: EngineRegistry,
        health: EngineHealth,
        retry_schedule: RetrySchedule,
        parameters: QueueParameters | None = None,
        limits: ServerLimits | None = None,
    ) -> None:
        self.service = service
        self._limits = limits if limits is not None else ServerLimits()
        self._retry_schedule = retry_schedule
        self.parameters = parameters or QueueParameters()
        self.ledger = RunLedger(service, registry, health, self.parameters)
        self._wait = QueueWait(self.ledger, self.parameters, self._limits)
        self._queued_by_id: dict[str, QueuedRequest] = {}
        self._paused_until_s = float("-inf")
        self._blocks_by_host_id: dict[str, dict[str, float]] = {}
        self._saturated_until_s = float("-inf")
        self._reserve = PriorityReserve(enabled=self.parameters.rules.priority_reserve)
        self.trials = SuspectTrials(
            lambda request_id: bool(self.ledger.decode_engine_of(request_id))
        )
        self.demand = Demand()

    @property
    def waiting_count(self) -> int:
        """Return the number of queued requests."""
        return len(self._queued_by_id)

    def pause(self, until_s: float) -> None:
        """Suspend decisions until ``until_s``.

        A new owner first waits for the hosts to report the runs they hold.
        """
        self._paused_until_s = until_s

    def block(self, host_id: str, engine_id: str, until_s: float, now_s: float) -> None:
        """Grant a host nothing at an engine until ``until_s``.

        The engine asked this host to send it no requests.
        """
        for known_id, blocks in list(self._blocks_by_host_id.items()):
            if all(end_s <= now_s for end_s in blocks.values()):
                del self._blocks_by_host_id[known_id]
        blocks = self._blocks_by_host_id.setdefault(host_id, {})
        blocks[engine_id] = max(until_s, blocks.get(engine_id, until_s))

    def add(self, request: RunRequest, host_id: str, now_s: float) -> list[Decision]:
        """Grant, queue or refuse a new request.

        The decisions may concern other queued requests as well.
        """
        output_length = self.ledger.output_length
        declared_tokens = request.expected_tokens
        output_length.observe_declared(declared_tokens)
        request = replace(
            request, expected_tokens=output_length.predict_tokens(declared_tokens)
        )
        self.demand.add(
            request.prompt_tokens,
            request.expected_tokens,
            now_s,
            request.max_gap_ms / 1000,
        )
        self._reserve.observe(
            request.priority, request.prompt_tokens, request.expected_tokens
        )
        queued = self._queued_request(request, host_id, now_s, declared_tokens)
        self._queued_by_id[request.request_id] = queued
        decisions = self.advance(now_s)
        if now_s < self._paused_until_s:
            return decisions
        if request.request_id in self._queued_by_id:
            reason = self._refusal_reason(queued, now_s)
            fallback = None
            if reason == "objective_missed":
                fallback = self._try_local_prefill(
                    queued, self._placement(now_s), now_s
                )
            if fallback is not None:
                decisions.append(fallback)
            elif reason:
                decisions.append(self._refuse(queued, reason, now_s))
        return decisions

    def _queued_request(
        self, request: RunRequest, host_id: str, now_s: float, declared_tokens: int
    ) -> QueuedRequest:
        prefill_s = self.ledger.prefill_s(request.prompt_tokens)
        start_s = max(
            self.parameters.start_s, self.parameters.first_event_s + prefill_s
        )
        return QueuedRequest(
            request,
            host_id,
            now_s,
            latest_start_s=now_s + request.objective_ms / 1000 - start_s,
            patience_deadline_s=now_s + request.patience_ms / 1000 - start_s,
            excluded=set(request.excluded),
            blocked_engines=set(request.blocked_engines),
            declared_tokens=declared_tokens,
        )

    def _placement(self, now_s: float) -> Placement:
        return Placement(
            self.ledger,
            self.parameters,
            self._blocks_by_host_id,
            self._limits,
            self.trials,
            now_s,
        )

    def advance(self, now_s: float) -> list[Decision]:
        """Grant requests that fit and refuse those whose time has run out."""
        decisions: list[Decision] = []
        if now_s < self._paused_until_s or not self._queued_by_id:
            return decisions
        placement = self._placement(now_s)
        for queued in sorted(
            self._queued_by_id.values(), key=lambda item: item.sort_key(now_s)
        ):
            if now_s >= queued.queue_deadline_s:
                decisions.append(self._refuse(queued, "waited_too_long", now_s))
                continue
            granted = self._try_grant(queued, placement, now_s)
            if granted is not None:
                decisions.append(granted)
        return decisions

    def reconcile(self, host_id: str, runs: Sequence[HeldRun], now_s: float) -> int:
        """Apply a host's report of its runs; return how many runs changed.

        Runs unknown so far count as demand, so that a new owner knows the mix
        of the traffic.
        """
        unknown = [
            run for run in runs if not self.ledger.decode_engine_of(run.request_id)
        ]
        changed = self.ledger.reconcile(host_id, runs, now_s)
        for run in unknown:
            if self.ledger.decode_engine_of(run.request_id):
                self.demand.add(run.prompt_tokens, run.expected_tokens, now_s)
        return changed

    def next_due_s(self, now_s: float) -> float | None:
        """Return when to call ``advance`` if nothing else happens before.

        ``None`` means that no request is queued.
        """
        if not self._queued_by_id:
            return None
        times = [queued.queue_deadline_s for queued in self._queued_by_id.values()]
        for load in self.ledger.decode_loads():
            times += [load.backoff_until_s, load.next_local_prefill_s]
        for load in (*self.ledger.decode_loads(), *self.ledger.prefill_loads()):
            if not self._limits.may_send(load.entry.id, now_s):
                times.append(self._limits.next_permit_s(load.entry.id, now_s))
        times.append(self._paused_until_s)
        if self._reserve.has_reservations(now_s):
            times.append(now_s + RECHECK_INTERVAL_S)
        # A permit may be expected at no time, which is infinitely late.
        return min((time for time in times if now_s < time < math.inf), default=now_s)

    def ended(
        self, request_id: str, gap_ms: float, now_s: float, generated_tokens: int = 0
    ) -> None:
        """Release what a request holds and remove it from the queue."""
        self._queued_by_id.pop(request_id, None)
        self.trials.end(request_id)
        self.ledger.release(request_id, gap_ms, now_s, generated_tokens)

    def _try_grant(
        self, queued: QueuedRequest, placement: Placement, now_s: float
    ) -> Granted | None:
        """Grant a slot if the request may have one now."""
        if not self.trials.may_start(queued.request.suspect_parts):
            return None
        rules = self.parameters.rules
        late_reserve = self.parameters.late_reserve if rules.late_reserve else 0.0
        late_reserved_slots = placement.all_slots * late_reserve
        if queued.is_late(now_s) and placement.free_slots() <= late_reserved_slots:
            return None
        if not self._respects_reserve(queued, placement, now_s):
            return None
        prefill_engine = placement.first_prefill_engine(queued)
        prefill_backlog_s = (
            placement.prefill_backlog_s(prefill_engine) if rules.read_ahead else 0.0
        )
        if prefill_backlog_s > self.parameters.max_prefill_backlog_s:
            if queued.is_late(now_s + self.parameters.local_prefill_lead_s):
                return self._try_local_prefill(queued, placement, now_s)
            return None
        if queued.is_late(now_s + prefill_backlog_s) and not queued.is_late(now_s):
            return self._try_local_prefill(queued, placement, now_s)
        decode = placement.select_decode_engine(
            queued, local_prefill=prefill_engine is None
        )
        if decode is None:
            return None
        return self._grant(queued, placement, decode, prefill_engine, now_s)

    def _respects_reserve(
        self, queued: QueuedRequest, placement: Placement, now_s: float
    ) -> bool:
        """Return whether a grant leaves the capacity reserved for others."""
        reserved = self._reserve.reserved_against(
            queued.request.priority, now_s, late=queued.is_late(now_s)
        )
        return reserved is NOTHING_RESERVED or placement.leaves_reserved(reserved)

    def _try_local_prefill(
        self, queued: QueuedRequest, placement: Placement, now_s: float
    ) -> Granted | None:
        """Grant a slot at a decode engine that prefills the prompt itself.

        Used when no prefill engine can process the prompt in time.
        """
        if not self.parameters.rules.relief:
            return None
        if not self.trials.may_start(queued.request.suspect_parts):
            return None
        reserved_slots = placement.all_slots * self.parameters.local_prefill_reserve
        if queued.is_late(now_s) or placement.free_slots() <= reserved_slots:
            return None
        decode = placement.select_decode_engine(queued, local_prefill=True)
        if decode is None:
            return None
        prompt_tokens = queued.request.prompt_tokens
        extra_prefill_s = decode.local_prefill_s(prompt_tokens) - self.ledger.prefill_s(
            prompt_tokens
        )
        if queued.is_late(now_s + extra_prefill_s):
            return None
        return self._grant(queued, placement, decode, None, now_s)

    def _grant(
        self,
        queued: QueuedRequest,
        placement: Placement,
        decode: EngineLoad,
        prefill_engine: EngineLoad | None,
        now_s: float,
    ) -> Granted:
        request, ledger = queued.request, self.ledger
        del self._queued_by_id[request.request_id]
        ledger.grant(
            request,
            queued.host_id,
            decode,
            prefill_engine,
            now_s,
            queued.declared_tokens,
        )
        if request.suspect_parts:
            self.trials.start(
                request.request_id, request.suspect_parts, decode.entry.id
            )
        placement.record_grant(prefill_engine)
        self._limits.take(decode.entry.id, 1, now_s)
        if prefill_engine is not None:
            self._limits.take(prefill_engine.entry.id, 1, now_s)
        if not queued.is_late(now_s):
            self._reserve.record_grant(request.priority)
        return Granted(
            request.request_id,
            decode.entry,
            prefill_engine.entry if prefill_engine is not None else None,
            now_s - queued.arrived_s,
            placement.free_slots(),
        )

    def _refusal_reason(self, queued: QueuedRequest, now_s: float) -> str:
        """Return why a request that fits nowhere now should not wait.

        The empty string means that it may wait.
        """
        if self.trials.is_deferred(queued.request.suspect_parts, now_s):
            return TRIAL_DEFERRED
        placement = self._placement(now_s)
        loads = placement.usable_decode_engines(queued)
        if all(load.entry.id in queued.excluded for load in loads):
            return "no_engine"
        if not placement.usable_prefill_engines(
            queued
        ) and placement.needs_prefill_engine(queued):
            return "no_reader_for_long_prompt"
        if not self.parameters.rules.early_refusal:
            return ""
        queue = self._queued_by_id.values()
        expected_wait_s = self._wait.expected_wait_s(queued, queue, placement, now_s)
        expected_start_s = now_s + expected_wait_s
        limit_wait_s = self._wait.limit_wait_s(queued, queue, placement, now_s)
        if limit_wait_s > queued.queue_deadline_s - now_s:
            return "server_limited"
        if not queued.is_late(now_s):
            return (
                "" if expected_start_s <= queued.latest_start_s else "objective_missed"
            )
        if now_s < self._saturated_until_s:
            return "saturated"
        late = sum(item.is_late(now_s) for item in self._queued_by_id.values())
        if late > max(1, int(placement.all_slots * self.parameters.max_late_share)):
            return "too_many_late"
        return (
            ""
            if expected_start_s <= queued.patience_deadline_s
            else "caller_leaves_first"
        )

    def refuse_quarantined(
        self, is_quarantined: Callable[[tuple[str, ...]], bool], now_s: float
    ) -> list[Decision]:
        """Refuse the queued requests whose prompt parts crash engines."""
        return [
            self._refuse(queued, QUARANTINED, now_s)
            for queued in list(self._queued_by_id.values())
            if is_quarantined(queued.request.suspect_parts)
        ]

    def host_ids(self) -> set[str]:
        """Return the hosts that have queued requests or runs."""
        queued = {queued.host_id for queued in self._queued_by_id.values()}
        return queued | self.ledger.host_ids()

    def _refuse(self, queued: QueuedRequest, reason: str, now_s: float) -> Refused:
        """Remove a request from the queue and schedule its retry."""
        del self._queued_by_id[queued.request.request_id]
        arrived_on_time = queued.arrived_s <= queued.latest_start_s
        if arrived_on_time and reason in SHORTAGE_REASONS:
            engines = len(self.ledger.decode_loads())
            self._reserve.record_refusal(queued.request.priority, engines, now_s)
            self._saturated_until_s = now_s + self.parameters.saturation_window_s
        basis = self._wait.retry_basis(reason, len(self._queued_by_id), now_s)
        wait_s = basis.wait_s
        if reason == TRIAL_DEFERRED:
            parts = queued.request.suspect_parts
            wait_s = max(wait_s, self.trials.retry_after_s(parts, now_s))
        deadline_left_s = queued.arrived_s + queued.request.left_ms / 1000 - now_s
        retry_after_s = self._retry_schedule.next_retry_s(
            wait_s, basis.slots, basis.slot_s, deadline_left_s, now_s
        )
        return Refused(
            queued.request.request_id,
            reason,
            retry_after_s,
            len(self._queued_by_id),
            self.ledger.free_slots(),
        )
