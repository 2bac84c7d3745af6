"""Admission control and scheduling for the engines of one shard.

The scheduler keeps an exact ledger of the shard's decode memory and of the
prefills in progress. A request is queued here rather than in an engine until
a prefill engine is idle and a decode engine has memory for the whole request.
Both are then granted together, so that no prefill runs without a decode slot.
A request that cannot be served in time is refused on arrival.

Decisions are made when a message arrives and, while requests are queued, on a
timer, because no message announces that a prefill has become overdue or that
a target has been missed.
"""

import asyncio
import itertools
import random
from collections.abc import Iterable

from returns.result import Failure, Result, Success

from .admission_queue import AdmissionQueue, QueuedRequest
from .clock import Clock
from .configuration import Configuration, Engine, Model, RequestClass
from .engine_client import CacheEvent, EngineReport
from .fair_share import FairShare
from .grant_pass import GrantPass
from .granted_requests import GrantedRequest
from .pairing import EnginePair, PairChooser, RequestNeeds
from .peer_messages import (
    AdmissionRequest,
    Grant,
    HeldGrant,
    PrefillDone,
    Refusal,
    Release,
    ShardSummary,
    SlowStep,
)
from .prefix_blocks import BLOCK_BYTES
from .prefix_index import PrefixIndex
from .request_ids import RequestId
from .result_codes import ResultCode
from .rule_set import RuleSet
from .shard_ledger import EngineState, PrefillJob, ShardLedger
from .shard_observations import ShardObservations
from .stragglers import SpeedTracker
from .tenant_limits import TenantLimits
from .wait_estimate import ArrivalRate, ShardCapacity, WaitEstimator

__all__ = ["ShardScheduler"]

AdmissionResult = Result[Grant, Refusal]

# Assumed duration of a prefill that a previous owner granted, whose size is
# unknown.
ASSUMED_PREFILL_S = 0.5

# Allowance for the message time from the entry host to the owner and back,
# which the owner cannot observe, and for the error of its estimates.
TTFT_MARGIN_S = 0.05

# A queued request is displaced only if it costs this many times as much as
# the new one.
DISPLACEMENT_FACTOR = 1.3

# Displacing a request also shortens the queue for all others, so the estimated
# wait may exceed the slack by this factor.
DISPLACEMENT_TOLERANCE = 1.1

# Bounds of the time between decisions while requests are queued.
MAX_TICK_S = 0.02
MIN_TICK_S = 0.002

MIN_RETRY_AFTER_S = 0.1
MAX_RETRY_AFTER_S = 30.0
RETRY_AFTER_JITTER = 0.2

# Used for a model that is not configured.
DEFAULT_KV_BYTES_PER_TOKEN = 160_000.0
DEFAULT_BYTES_PER_TOKEN = 4.0


class ShardScheduler:
    """Queues the requests of one shard and grants each a pair of engines."""

    def __init__(
        self,
        shard_id: str,
        clock: Clock,
        rng: random.Random | None = None,
        rules: RuleSet | None = None,
    ) -> None:
        self._shard_id = shard_id
        self._clock = clock
        self._rng = rng or random.Random(0)
        self._rules = rules or RuleSet()
        self._engines: list[Engine] = []
        self._configuration: Configuration | None = None
        self._ledger = ShardLedger()
        self._speeds = SpeedTracker(enabled=self._rules.stragglers)
        self._prefixes = PrefixIndex()
        self._chooser = PairChooser(
            self._ledger, self._speeds, self._prefixes, self._rules
        )
        self._queue = AdmissionQueue(late_last=self._rules.late_last)
        self._fair_share = FairShare()
        self._limits = TenantLimits()
        self._estimator = WaitEstimator()
        self._observations = ShardObservations(
            clock, self._ledger, self._speeds, self._prefixes, self._estimator
        )
        self._arrivals = ArrivalRate()
        self._classes_by_name: dict[str, RequestClass] = {}
        self._models_by_name: dict[str, Model] = {}
        self._futures_by_request_id: dict[str, asyncio.Future[AdmissionResult]] = {}
        self._granted_by_request_id: dict[str, GrantedRequest] = {}
        self._sequence = itertools.count()
        self._timer: asyncio.TimerHandle | None = None

    @property
    def engine_ids(self) -> list[str]:
        """Return the ids of the shard's engines."""
        return [engine.id for engine in self._engines]

    def update_engines(self, engines: Iterable[Engine]) -> None:
        """Apply the engines of the current configuration."""
        engines = list(engines)
        if engines == self._engines:
            return
        self._engines = engines
        self._ledger.update(engines)
        self._speeds.keep_only(set(self._ledger.states_by_id))
        self._grant_queued()

    def update_configuration(
        self, configuration: Configuration, shard_count: int = 1
    ) -> None:
        """Apply request classes, models and tenants of a configuration.

        Tenant limits are divided by the number of shards in the pool.
        """
        if configuration is self._configuration:
            return
        self._configuration = configuration
        self._classes_by_name = dict(configuration.classes_by_name)
        self._models_by_name = dict(configuration.models_by_name)
        tenants = configuration.tenants_by_name
        self._limits.update(tenants, shard_count)
        self._fair_share.update_weights(
            {name: tenant.weight for name, tenant in tenants.items()}
        )

    async def admit(self, request: AdmissionRequest) -> Result[Grant, Refusal]:
        """Wait for a pair of engines; refuse a request that would be too late.

        A second call with the same request id refuses the first if it is
        still queued, and releases its grant otherwise.
        """
        future: asyncio.Future[AdmissionResult] = (
            asyncio.get_running_loop().create_future()
        )
        self._discard(request.request_id, ResultCode.CONFLICTING_ATTEMPT)
        self._futures_by_request_id[request.request_id] = future
        self._enqueue_or_refuse(request)
        try:
            return await future
        except asyncio.CancelledError:
            # The caller no longer waits, so a grant cannot be delivered.
            if self._futures_by_request_id.get(request.request_id) is future:
                self.cancel(request.request_id)
            raise
        finally:
            if self._futures_by_request_id.get(request.request_id) is future:
                del self._futures_by_request_id[request.request_id]

    def prefill_done(self, message: PrefillDone) -> None:
        """Release the prefill engine of a request; its decode slot is kept."""
        granted = self._granted_by_request_id.get(message.request_id)
        if granted is None or granted.prefilled_s is not None:
            return
        now_s = self._clock.monotonic()
        granted.prefilled_s = now_s
        self._observations.prefill(granted, message, now_s)
        self._end_prefill(granted, now_s, finished=True)
        self._grant_queued()

    def slow_step(self, message: SlowStep) -> None:
        """Record that a decode engine is currently slow."""
        granted = self._granted_by_request_id.get(message.request_id)
        if granted is None:
            return
        state = self._ledger.states_by_id.get(granted.decode_engine)
        if state is not None:
            nominal_ms = state.reservations.step_ms(state.reservations.request_count)
            now_s = self._clock.monotonic()
            self._speeds.observe_step(
                state.engine.id, nominal_ms, message.gap_ms, now_s
            )

    def release(self, message: Release) -> None:
        """Release everything that a granted request holds."""
        now_s = self._clock.monotonic()
        granted = self._granted_by_request_id.get(message.request_id)
        if granted is not None:
            self._observations.release(granted, message, now_s)
            self._release_grant(message.request_id)
        self._grant_queued()

    def cancel(self, request_id: str) -> None:
        """Refuse a queued request, or release one that was just granted."""
        self._discard(request_id, ResultCode.CALLER_GONE)
        self._grant_queued()

    def remove_host_process(
        self, host_id: str, incarnation: int
    ) -> list[tuple[str, str]]:
        """Release the grants of a dead host process and drop its requests.

        Returns pairs of engine id and request id that are to be cancelled at
        the engines.
        """
        process = (host_id, incarnation)
        for request_id in self._queue.request_ids():
            if _process_of(request_id) == process:
                self._discard(request_id, ResultCode.CALLER_GONE)
        to_cancel = []
        for granted in list(self._granted_by_request_id.values()):
            if _process_of(granted.request_id) != process:
                continue
            if granted.prefill_engine:
                to_cancel.append((granted.prefill_engine, granted.request_id))
            to_cancel.append((granted.decode_engine, granted.request_id))
            self._release_grant(granted.request_id)
        self._grant_queued()
        return to_cancel

    def held_grants(self) -> list[HeldGrant]:
        """Return all grants in the ledger."""
        return [
            HeldGrant(
                granted.request_id,
                granted.prefill_engine,
                granted.decode_engine,
                granted.pieces,
                granted.prefilled_s is None,
            )
            for granted in self._granted_by_request_id.values()
        ]

    def track_grant(self, held: HeldGrant) -> None:
        """Record a grant of a previous owner in the ledger.

        Grants whose decode engine is not in this shard are ignored.
        """
        decode = self._ledger.states_by_id.get(held.decode_engine)
        if decode is None or held.request_id in self._granted_by_request_id:
            return
        now_s = self._clock.monotonic()
        decode.reservations.reserve(held.request_id, held.pieces, now_s)
        prefill = self._ledger.states_by_id.get(held.prefill_engine)
        prefilling = held.prefilling and prefill is not None
        if held.prefilling and prefill is not None:
            # Its size is unknown; it counts as overdue when it runs well past
            # the assumed duration.
            prefill.jobs_by_request_id[held.request_id] = PrefillJob(
                held.request_id, now_s, ASSUMED_PREFILL_S
            )
        self._granted_by_request_id[held.request_id] = GrantedRequest(
            held.request_id,
            "",
            held.prefill_engine,
            held.decode_engine,
            held.pieces,
            now_s,
            None,
            None if prefilling else now_s,
        )

    def observe_report(self, engine_id: str, report: EngineReport) -> None:
        """Update the speed estimate with the step time of a load report."""
        self._observations.report(engine_id, report)

    def observe_cache_events(
        self, engine_id: str, events: Iterable[CacheEvent]
    ) -> None:
        """Update the estimate of what an engine's prefix cache holds."""
        self._observations.cache_events(engine_id, events)

    def last_cache_event(self, engine_id: str) -> int:
        """Return the sequence number of an engine's last cache event."""
        return self._prefixes.last_sequence(engine_id)

    def summary(self) -> ShardSummary:
        """Return the shard state that is attached to replies."""
        states = self._ledger.all_decode_engines()
        free = sum(state.reservations.free_pieces for state in states)
        wait_s = 0.0
        if len(self._queue):
            capacity = self._capacity_of_engines(states, [])
            wait_s = self._estimator.wait_s(self._queue.counts(), capacity)
        return ShardSummary(self._shard_id, free, len(self._queue), int(wait_s * 1000))

    def tick(self) -> None:
        """Apply time-dependent decisions; called while requests are queued."""
        self._grant_queued()

    def _enqueue_or_refuse(self, request: AdmissionRequest) -> None:
        """Queue a new request unless a limit or an estimate rules it out."""
        now_s = self._clock.monotonic()
        wait_s = self._limits.admit_request(
            request.tenant, request.request_id, request.attempt, now_s
        )
        if wait_s is not None:
            self._refuse(request, ResultCode.TENANT_LIMIT, wait_s)
            return
        self._arrivals.record(now_s)
        item = self._queued_request(request, now_s)
        if self._chooser.permanent_reason(item.needs) is not None:
            self._refuse(request, ResultCode.NO_ENGINE, MAX_RETRY_AFTER_S)
            return
        if self._rules.early_refusal and not self._can_be_served(item, now_s):
            self._refuse_for_capacity(item)
            return
        self._queue.push(item)
        self._grant_queued()

    def _queued_request(self, request: AdmissionRequest, now_s: float) -> QueuedRequest:
        request_class = self._classes_by_name.get(request.class_name)
        model = self._models_by_name.get(request.model)
        needs = RequestNeeds(
            request,
            request_class.tbt_target_ms if request_class else 0.0,
            model.kv_bytes_per_token if model else DEFAULT_KV_BYTES_PER_TOKEN,
            BLOCK_BYTES / (model.bytes_per_token if model else DEFAULT_BYTES_PER_TOKEN),
        )
        estimated_ttft_s = self._chooser.estimated_ttft_s(needs, now_s) + TTFT_MARGIN_S
        queue_deadline_s = now_s + request.patience_ms / 1000
        target_s = now_s + request.ttft_deadline_ms / 1000
        latest_start_s = min(target_s - estimated_ttft_s, queue_deadline_s)
        sort_time_s = latest_start_s if self._rules.slack_order else now_s
        if request.resume_tokens:
            # A resumed stream has already delivered its first token, so the
            # TTFT target no longer applies. It goes ahead of requests that
            # still wait for theirs.
            latest_start_s, sort_time_s = queue_deadline_s, now_s
        return QueuedRequest(
            needs,
            latest_start_s,
            queue_deadline_s,
            sort_time_s,
            request_class.priority if request_class else 0,
            next(self._sequence),
            self._chooser.cost_s(needs, now_s),
        )

    def _can_be_served(self, item: QueuedRequest, now_s: float) -> bool:
        """Return whether a new request can meet its target or be served late.

        A late request is accepted only if the queue drains within its
        patience. Under overload it is not, because requests that can be on
        time would always go ahead of it.
        """
        if now_s + self._wait_s(item, now_s) <= item.latest_start_s:
            return True
        if self._rules.displacement and self._displace_for(item, now_s):
            return True
        item.late = self._rules.late_last
        if now_s >= item.queue_deadline_s or self._is_overloaded(item, now_s):
            return False
        return now_s + self._wait_s(item, now_s) <= item.queue_deadline_s

    def _displace_for(self, item: QueuedRequest, now_s: float) -> bool:
        """Refuse a costly queued request in favour of ``item``.

        One long request takes the capacity of several short ones. It is
        displaced only if that by itself lets the new request be on time.
        Returns whether a request was displaced.
        """
        displaced = self._queue.costliest_before(item)
        if displaced is None or displaced.cost_s < DISPLACEMENT_FACTOR * item.cost_s:
            return False
        if displaced.priority > item.priority or displaced.needs.request.resume_tokens:
            return False
        over_share = self._over_share(now_s, item.tenant)
        related = self._ledger.models_sharing_engines(item.model)
        ahead = self._queue.count_before(item, related, over_share)
        ahead[displaced.class_name] -= 1
        wait_s = self._estimator.wait_s(ahead, self._capacity(item.model, now_s))
        slack_s = item.latest_start_s - now_s
        if wait_s > slack_s * DISPLACEMENT_TOLERANCE:
            return False
        self._queue.remove(displaced.request_id)
        self._refuse_for_capacity(displaced)
        return True

    def _is_overloaded(self, item: QueuedRequest, now_s: float) -> bool:
        """Return whether requests arrive faster than they can be served."""
        capacity = self._capacity(item.model, now_s)
        arrivals_per_s = self._arrivals.per_s(now_s)
        return arrivals_per_s > self._estimator.service_rate_per_s(capacity)

    def _wait_s(self, item: QueuedRequest, now_s: float) -> float:
        over_share = self._over_share(now_s, item.tenant)
        related = self._ledger.models_sharing_engines(item.model)
        ahead = self._queue.count_before(item, related, over_share)
        return self._estimator.wait_s(ahead, self._capacity(item.model, now_s))

    def _capacity(self, model: str, now_s: float) -> ShardCapacity:
        return self._capacity_of_engines(
            self._ledger.decode_engines(model), self._ledger.prefill_engines(model)
        )

    def _capacity_of_engines(
        self, decode: list[EngineState], prefill: list[EngineState]
    ) -> ShardCapacity:
        mean_pieces = self._estimator.mean_pieces
        now_s = self._clock.monotonic()
        slots, free_slots = 0, 0
        for state in decode:
            by_memory = int(state.engine.total_pieces / mean_pieces)
            engine_slots = min(state.engine.max_requests, by_memory)
            free = min(
                engine_slots - state.reservations.request_count,
                int(state.reservations.free_pieces / mean_pieces),
            )
            slots += engine_slots
            free_slots += max(0, free)
        backlog_s = sum(self._chooser.backlog_s(state, now_s) for state in prefill)
        return ShardCapacity(slots, free_slots, len(prefill), backlog_s)

    def _over_share(self, now_s: float, arriving_tenant: str = "") -> set[str]:
        """Return the competing tenants that exceed their fair share."""
        if not self._rules.fair_share:
            return set()
        tenants = self._queue.tenants()
        if arriving_tenant:
            tenants.add(arriving_tenant)
        return self._fair_share.over_share(tenants, now_s)

    def _grant_queued(self) -> None:
        """Refuse overdue requests, then grant what fits the free engines."""
        if not len(self._queue):
            return
        now_s = self._clock.monotonic()
        self._refuse_overdue(now_s)
        grant_pass = GrantPass(
            self._chooser,
            self._ledger,
            self._reserve,
            now_s,
            allow_cache_wait=self._rules.prefix_order and len(self._queue) > 1,
        )
        grant_pass.run(
            self._queue.candidates(self._over_share(now_s), grant_pass.stopped_models)
        )
        for item, pair in grant_pass.granted:
            self._queue.remove(item.request_id)
            self._resolve(item.request_id, Success(self._grant_of(item, pair)))
        for item in grant_pass.unservable:
            self._queue.remove(item.request_id)
            self._refuse(item.needs.request, ResultCode.NO_ENGINE, MAX_RETRY_AFTER_S)
        self._start_timer()

    def _refuse_overdue(self, now_s: float) -> None:
        """Refuse expired requests and, under overload, those now late.

        Under overload a late request would never be granted, because all
        capacity goes to requests that can be on time.
        """
        expired, late_items = self._queue.expire_and_demote(now_s)
        for item in expired:
            self._refuse_for_capacity(item)
        for item in late_items:
            if self._rules.early_refusal and self._is_overloaded(item, now_s):
                self._queue.remove(item.request_id)
                self._refuse_for_capacity(item)

    def _reserve(self, item: QueuedRequest, pair: EnginePair) -> None:
        """Record the engines, memory and links of a grant in the ledger."""
        now_s = self._clock.monotonic()
        request = item.needs.request
        request_id = request.request_id
        pair.decode.reservations.reserve(
            request_id, pair.pieces, now_s, item.needs.tbt_target_ms
        )
        pair.prefill.jobs_by_request_id[request_id] = PrefillJob(
            request_id, now_s, pair.nominal_prefill_s, pair.expected_blocks
        )
        for state in (pair.prefill, pair.decode):
            state.link.plan(request_id, item.needs.transfer_bytes)
        self._prefixes.record_sent(pair.prefill.engine.id, request.prefix_blocks, now_s)
        self._granted_by_request_id[request_id] = GrantedRequest(
            request_id,
            request.tenant,
            pair.prefill.engine.id,
            pair.decode.engine.id,
            pair.pieces,
            now_s,
            item.needs,
        )
        self._estimator.observe_pieces(pair.pieces)
        step_s = (
            pair.decode.reservations.step_ms(pair.decode.reservations.request_count)
            / 1000
        )
        hold_s = pair.first_token_s + request.max_tokens * step_s
        self._fair_share.charge(request.tenant, pair.pieces * hold_s, now_s)

    def _grant_of(self, item: QueuedRequest, pair: EnginePair) -> Grant:
        return Grant(
            item.request_id,
            self._shard_id,
            pair.prefill.engine.id,
            pair.decode.engine.id,
            pair.pieces,
            self.summary(),
        )

    def _end_prefill(
        self, granted: GrantedRequest, now_s: float, *, finished: bool
    ) -> None:
        """Free the prefill engine; start or drop the planned transfer."""
        prefill = self._ledger.states_by_id.get(granted.prefill_engine)
        decode = self._ledger.states_by_id.get(granted.decode_engine)
        for state in (prefill, decode):
            if state is None:
                continue
            if finished:
                state.link.start(granted.request_id, now_s)
            else:
                state.link.cancel_planned(granted.request_id)
        if prefill is None:
            return
        job = prefill.end_prefill(granted.request_id, now_s)
        if job is not None and not finished:
            self._observations.cancelled_prefill(prefill, job, now_s)

    def _release_grant(self, request_id: str) -> None:
        """Release a grant's engines and its count in the tenant limit."""
        granted = self._granted_by_request_id.pop(request_id, None)
        if granted is None:
            return
        self._limits.remove_request(granted.tenant, request_id)
        if granted.prefilled_s is None:
            self._end_prefill(granted, self._clock.monotonic(), finished=False)
        state = self._ledger.states_by_id.get(granted.decode_engine)
        if state is not None:
            state.reservations.release(request_id)

    def _discard(self, request_id: str, code: ResultCode) -> None:
        """Refuse a queued request with ``code``; release a granted one."""
        item = self._queue.remove(request_id)
        if item is not None:
            self._refuse(item.needs.request, code, MIN_RETRY_AFTER_S)
        self._release_grant(request_id)

    def _refuse_for_capacity(self, item: QueuedRequest) -> None:
        """Refuse a request; it may retry when the queue has drained."""
        now_s = self._clock.monotonic()
        capacity = self._capacity(item.model, now_s)
        drain_s = self._estimator.wait_s(self._queue.counts(), capacity)
        self._refuse(item.needs.request, ResultCode.NO_CAPACITY_IN_TIME, drain_s)

    def _refuse(
        self, request: AdmissionRequest, code: ResultCode, retry_after_s: float
    ) -> None:
        """Refuse a request that is not in the queue.

        Jitter is added to the retry delay so that refused callers do not
        retry at the same time.
        """
        self._limits.remove_request(request.tenant, request.request_id)
        factor = 1.0 + self._rng.uniform(0.0, RETRY_AFTER_JITTER)
        bounded_s = min(max(retry_after_s, MIN_RETRY_AFTER_S), MAX_RETRY_AFTER_S)
        refusal = Refusal(
            request.request_id,
            code.value,
            code.name,
            int(bounded_s * factor * 1000),
            self.summary(),
        )
        self._resolve(request.request_id, Failure(refusal))

    def _resolve(self, request_id: str, result: AdmissionResult) -> None:
        future = self._futures_by_request_id.get(request_id)
        if future is not None and not future.done():
            future.set_result(result)

    def _start_timer(self) -> None:
        if self._timer is not None or not len(self._queue):
            return
        try:
            loop = asyncio.get_running_loop()
        except RuntimeError:
            return  # without an event loop the caller calls ``tick`` itself
        self._timer = loop.call_later(self._next_tick_s(), self._on_timer)

    def _next_tick_s(self) -> float:
        """Return the time until a prefill engine is ready, within bounds."""
        now_s = self._clock.monotonic()
        ready_s = self._chooser.next_ready_s(now_s)
        return min(MAX_TICK_S, max(MIN_TICK_S, ready_s))

    def _on_timer(self) -> None:
        self._timer = None
        self.tick()


def _process_of(request_id: str) -> tuple[str, int] | None:
    """Return host id and incarnation, or None if the id has another format."""
    try:
        parsed = RequestId.parse(request_id)
    except ValueError:
        return None
    return parsed.host_id, parsed.incarnation
