"""Admission to the engines of one shard.

The scheduler keeps the exact account of the shard's decode memory and of
the prefills in progress. A request waits here, not in an engine, until a
prefill engine is idle and a decode engine has memory for the whole request;
both are then granted together, so that no prefill runs without a decode
place. A request that cannot be served in time is refused on arrival.

Decisions are made when a message arrives and, while requests wait, by a
timer, because a prefill that becomes overdue or a target that is missed
sends no message.
"""

import asyncio
import itertools
import random
from collections.abc import Iterable

from returns.result import Failure, Result, Success

from .admission_queue import AdmissionQueue, WaitingRequest
from .clock import Clock
from .configuration import Configuration, Engine, Model, RequestClass
from .engine_accounts import EngineState, PrefillJob, ShardAccounts
from .engine_client import CacheEvent, EngineReport
from .fair_share import FairShare
from .grant_pass import GrantPass
from .granted_requests import GrantedRequest
from .pairing import Pair, PairChooser, RequestNeeds
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
from .shard_observations import ShardObservations
from .stragglers import SpeedTracker
from .tenant_limits import TenantLimits
from .wait_estimate import ArrivalRate, ShardCapacity, WaitEstimator

__all__ = ["ShardScheduler"]

Answer = Result[Grant, Refusal]

# Assumed time of a prefill that an earlier owner granted.
ADOPTED_PREFILL_S = 0.5

# Time from the arrival at the entry host to the owner and back that the
# owner does not see, and variation of the times it estimates.
TARGET_MARGIN_S = 0.05

# A request is given up for another only if it costs this many times as much.
DISPLACEMENT_FACTOR = 1.3

# The exchange makes the queue shorter for all others, so the estimated wait
# may exceed the time to spare by this factor.
DISPLACEMENT_TOLERANCE = 1.1

# Period of decisions while requests wait.
TICK_S = 0.02
MIN_TICK_S = 0.002

MIN_RETRY_AFTER_S = 0.1
MAX_RETRY_AFTER_S = 30.0
RETRY_AFTER_JITTER = 0.2

# Sizes for a model that is not configured.
DEFAULT_KV_BYTES_PER_TOKEN = 160_000.0
DEFAULT_BYTES_PER_TOKEN = 4.0


class ShardScheduler:
    """Queues requests of one shard and grants engine pairs."""

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
        self._accounts = ShardAccounts()
        self._speeds = SpeedTracker(enabled=self._rules.stragglers)
        self._prefixes = PrefixIndex()
        self._chooser = PairChooser(
            self._accounts, self._speeds, self._prefixes, self._rules
        )
        self._queue = AdmissionQueue(late_last=self._rules.late_last)
        self._fair_share = FairShare()
        self._limits = TenantLimits()
        self._estimator = WaitEstimator()
        self._observations = ShardObservations(
            clock, self._accounts, self._speeds, self._prefixes, self._estimator
        )
        self._arrivals = ArrivalRate()
        self._classes_by_name: dict[str, RequestClass] = {}
        self._models_by_name: dict[str, Model] = {}
        self._answers_by_request_id: dict[str, asyncio.Future[Answer]] = {}
        self._granted_by_request_id: dict[str, GrantedRequest] = {}
        self._sequence = itertools.count()
        self._timer: asyncio.TimerHandle | None = None

    @property
    def engine_ids(self) -> list[str]:
        """Return the engines of the shard."""
        return [engine.id for engine in self._engines]

    def update_engines(self, engines: Iterable[Engine]) -> None:
        """Take over the engines of the configuration in force."""
        engines = list(engines)
        if engines == self._engines:
            return
        self._engines = engines
        self._accounts.update(engines)
        self._speeds.keep_only(set(self._accounts.states_by_id))
        self._grant_waiting()

    def update_configuration(
        self, configuration: Configuration, shard_count: int = 1
    ) -> None:
        """Take over classes, models and tenants.

        Tenant limits are divided by the number of shards of the pool.
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
        """Wait for a pair of engines; refuse when the target is out of reach.

        A second call with the same request id takes the place of the first.
        """
        answer: asyncio.Future[Answer] = asyncio.get_running_loop().create_future()
        self._withdraw(request.request_id, ResultCode.CONFLICTING_ATTEMPT)
        self._answers_by_request_id[request.request_id] = answer
        self._enter(request)
        try:
            return await answer
        except asyncio.CancelledError:
            # A grant that its requester no longer waits for is not delivered.
            if self._answers_by_request_id.get(request.request_id) is answer:
                self.cancel(request.request_id)
            raise
        finally:
            if self._answers_by_request_id.get(request.request_id) is answer:
                del self._answers_by_request_id[request.request_id]

    def prefill_done(self, message: PrefillDone) -> None:
        """Free the prefill engine; the decode place is kept."""
        granted = self._granted_by_request_id.get(message.request_id)
        if granted is None or granted.prefilled_s is not None:
            return
        now_s = self._clock.monotonic()
        granted.prefilled_s = now_s
        self._observations.prefill(granted, message, now_s)
        self._end_prefill(granted, now_s, finished=True)
        self._grant_waiting()

    def slow_step(self, message: SlowStep) -> None:
        """Note that a decode engine is slow right now."""
        granted = self._granted_by_request_id.get(message.request_id)
        if granted is None:
            return
        state = self._accounts.states_by_id.get(granted.decode_engine)
        if state is not None:
            nominal_ms = state.account.step_ms(state.account.request_count)
            now_s = self._clock.monotonic()
            self._speeds.observe_step(
                state.engine.id, nominal_ms, message.gap_ms, now_s
            )

    def release(self, message: Release) -> None:
        """Free all that a granted request holds."""
        now_s = self._clock.monotonic()
        granted = self._granted_by_request_id.get(message.request_id)
        if granted is not None:
            self._observations.release(granted, message, now_s)
            self._free(message.request_id)
        self._grant_waiting()

    def cancel(self, request_id: str) -> None:
        """Drop a waiting request, or free one that was just granted."""
        self._withdraw(request_id, ResultCode.CALLER_GONE)
        self._grant_waiting()

    def drop_host(self, host_id: str, incarnation: int) -> list[tuple[str, str]]:
        """Free the grants of a dead process and drop what it waits for.

        Returns the pairs of engine id and request id to cancel.
        """
        process = (host_id, incarnation)
        for request_id in self._queue.request_ids():
            if _process_of(request_id) == process:
                self._withdraw(request_id, ResultCode.CALLER_GONE)
        to_cancel = []
        for granted in list(self._granted_by_request_id.values()):
            if _process_of(granted.request_id) != process:
                continue
            if granted.prefill_engine:
                to_cancel.append((granted.prefill_engine, granted.request_id))
            to_cancel.append((granted.decode_engine, granted.request_id))
            self._free(granted.request_id)
        self._grant_waiting()
        return to_cancel

    def held_grants(self) -> list[HeldGrant]:
        """Return all grants in the account."""
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

    def adopt(self, held: HeldGrant) -> None:
        """Take a grant of an earlier owner into the account.

        Grants on engines that are not of this shard are left out.
        """
        decode = self._accounts.states_by_id.get(held.decode_engine)
        if decode is None or held.request_id in self._granted_by_request_id:
            return
        now_s = self._clock.monotonic()
        decode.account.reserve(held.request_id, held.pieces, now_s)
        prefill = self._accounts.states_by_id.get(held.prefill_engine)
        prefilling = held.prefilling and prefill is not None
        if held.prefilling and prefill is not None:
            # Its size is not known; it counts as overdue when it takes long.
            prefill.jobs_by_request_id[held.request_id] = PrefillJob(
                held.request_id, now_s, ADOPTED_PREFILL_S
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
        """Take the step time of a load report as an observation of speed."""
        self._observations.report(engine_id, report)

    def observe_cache_events(
        self, engine_id: str, events: Iterable[CacheEvent]
    ) -> None:
        """Correct the beliefs about an engine's prefix cache."""
        self._observations.cache_events(engine_id, events)

    def last_cache_event(self, engine_id: str) -> int:
        """Return the number of the last cache event seen of an engine."""
        return self._prefixes.last_sequence(engine_id)

    def summary(self) -> ShardSummary:
        """Return the state of the shard for replies."""
        states = self._accounts.all_decode()
        free = sum(state.account.free_pieces for state in states)
        wait_s = 0.0
        if len(self._queue):
            capacity = self._capacity_of(states, [])
            wait_s = self._estimator.wait_s(self._queue.counts(), capacity)
        return ShardSummary(self._shard_id, free, len(self._queue), int(wait_s * 1000))

    def tick(self) -> None:
        """Decide what depends on time alone; called while requests wait."""
        self._grant_waiting()

    def _enter(self, request: AdmissionRequest) -> None:
        now_s = self._clock.monotonic()
        wait_s = self._limits.enter(
            request.tenant, request.request_id, request.attempt, now_s
        )
        if wait_s is not None:
            self._refuse(request, ResultCode.TENANT_LIMIT, wait_s)
            return
        self._arrivals.record(now_s)
        item = self._waiting_request(request, now_s)
        if self._chooser.lasting_obstacle(item.needs) is not None:
            self._refuse(request, ResultCode.NO_ENGINE, MAX_RETRY_AFTER_S)
            return
        if self._rules.early_refusal and not self._can_be_served(item, now_s):
            self._refuse_for_capacity(item)
            return
        self._queue.push(item)
        self._grant_waiting()

    def _waiting_request(
        self, request: AdmissionRequest, now_s: float
    ) -> WaitingRequest:
        request_class = self._classes_by_name.get(request.class_name)
        model = self._models_by_name.get(request.model)
        needs = RequestNeeds(
            request,
            request_class.tbt_target_ms if request_class else 0.0,
            model.kv_bytes_per_token if model else DEFAULT_KV_BYTES_PER_TOKEN,
            BLOCK_BYTES / (model.bytes_per_token if model else DEFAULT_BYTES_PER_TOKEN),
        )
        service_s = self._chooser.service_s(needs, now_s) + TARGET_MARGIN_S
        give_up_s = now_s + request.patience_ms / 1000
        target_s = now_s + request.ttft_deadline_ms / 1000
        latest_start_s = min(target_s - service_s, give_up_s)
        order_s = latest_start_s if self._rules.slack_order else now_s
        if request.resume_tokens:
            # A caller that already reads its answer has no target time for the
            # first token any more; it goes ahead of those that still wait.
            latest_start_s, order_s = give_up_s, now_s
        return WaitingRequest(
            needs,
            latest_start_s,
            give_up_s,
            order_s,
            request_class.priority if request_class else 0,
            next(self._sequence),
            self._chooser.cost_s(needs, now_s),
        )

    def _can_be_served(self, item: WaitingRequest, now_s: float) -> bool:
        """Tell whether a new request can meet its target, or be late.

        A late request is taken only when the queue drains within its
        patience; under overload the others would never let it ahead.
        """
        if now_s + self._wait_s(item, now_s) <= item.latest_start_s:
            return True
        if self._rules.displacement and self._displace_for(item, now_s):
            return True
        item.late = self._rules.late_last
        if now_s >= item.give_up_s or self._is_overloaded(item, now_s):
            return False
        return now_s + self._wait_s(item, now_s) <= item.give_up_s

    def _displace_for(self, item: WaitingRequest, now_s: float) -> bool:
        """Refuse a costly waiting request in favour of ``item``.

        One long request takes the capacity of several short ones. It is
        given up only when that alone lets the new request be on time.
        """
        displaced = self._queue.costliest_before(item)
        if displaced is None or displaced.cost_s < DISPLACEMENT_FACTOR * item.cost_s:
            return False
        if displaced.priority > item.priority or displaced.needs.request.resume_tokens:
            return False
        over_share = self._over_share(now_s, item.tenant)
        related = self._accounts.related_models(item.model)
        ahead = self._queue.count_before(item, related, over_share)
        ahead[displaced.class_name] -= 1
        wait_s = self._estimator.wait_s(ahead, self._capacity(item.model, now_s))
        spare_s = item.latest_start_s - now_s
        if wait_s > spare_s * DISPLACEMENT_TOLERANCE:
            return False
        self._queue.remove(displaced.request_id)
        self._refuse_for_capacity(displaced)
        return True

    def _is_overloaded(self, item: WaitingRequest, now_s: float) -> bool:
        capacity = self._capacity(item.model, now_s)
        offered = self._arrivals.per_s(now_s)
        return offered > self._estimator.requests_per_s(capacity)

    def _wait_s(self, item: WaitingRequest, now_s: float) -> float:
        over_share = self._over_share(now_s, item.tenant)
        related = self._accounts.related_models(item.model)
        ahead = self._queue.count_before(item, related, over_share)
        return self._estimator.wait_s(ahead, self._capacity(item.model, now_s))

    def _capacity(self, model: str, now_s: float) -> ShardCapacity:
        return self._capacity_of(
            self._accounts.decode_engines(model), self._accounts.prefill_engines(model)
        )

    def _capacity_of(
        self, decode: list[EngineState], prefill: list[EngineState]
    ) -> ShardCapacity:
        mean_pieces = self._estimator.mean_pieces
        now_s = self._clock.monotonic()
        slots, free_slots = 0, 0
        for state in decode:
            by_memory = int(state.engine.total_pieces / mean_pieces)
            engine_slots = min(state.engine.max_requests, by_memory)
            free = min(
                engine_slots - state.account.request_count,
                int(state.account.free_pieces / mean_pieces),
            )
            slots += engine_slots
            free_slots += max(0, free)
        backlog_s = sum(self._chooser.backlog_s(state, now_s) for state in prefill)
        return ShardCapacity(slots, free_slots, len(prefill), backlog_s)

    def _over_share(self, now_s: float, arriving: str = "") -> set[str]:
        if not self._rules.fair_share:
            return set()
        tenants = self._queue.tenants()
        if arriving:
            tenants.add(arriving)
        return self._fair_share.over_share(tenants, now_s)

    def _grant_waiting(self) -> None:
        if not len(self._queue):
            return
        now_s = self._clock.monotonic()
        self._give_up_missed(now_s)
        grant_pass = GrantPass(
            self._chooser,
            self._accounts,
            self._reserve,
            now_s,
            others_wait=self._rules.prefix_order and len(self._queue) > 1,
        )
        grant_pass.run(
            self._queue.candidates(self._over_share(now_s), grant_pass.stopped_models)
        )
        for item, pair in grant_pass.granted:
            self._queue.remove(item.request_id)
            self._answer(item.request_id, Success(self._grant_of(item, pair)))
        for item in grant_pass.impossible:
            self._queue.remove(item.request_id)
            self._refuse(item.needs.request, ResultCode.NO_ENGINE, MAX_RETRY_AFTER_S)
        self._arm_timer()

    def _give_up_missed(self, now_s: float) -> None:
        """Refuse requests whose patience ended, or that are late for good.

        Under overload a late request would wait in vain: all capacity goes
        to those that can be on time.
        """
        ended, missed = self._queue.take_missed(now_s)
        for item in ended:
            self._refuse_for_capacity(item)
        for item in missed:
            if self._rules.early_refusal and self._is_overloaded(item, now_s):
                self._queue.remove(item.request_id)
                self._refuse_for_capacity(item)

    def _reserve(self, item: WaitingRequest, pair: Pair) -> None:
        now_s = self._clock.monotonic()
        request = item.needs.request
        request_id = request.request_id
        pair.decode.account.reserve(
            request_id, pair.pieces, now_s, item.needs.tbt_target_ms
        )
        pair.prefill.jobs_by_request_id[request_id] = PrefillJob(
            request_id, now_s, pair.nominal_prefill_s, pair.blocks_expected
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
        step_s = pair.decode.account.step_ms(pair.decode.account.request_count) / 1000
        hold_s = pair.first_token_s + request.max_tokens * step_s
        self._fair_share.charge(request.tenant, pair.pieces * hold_s, now_s)

    def _grant_of(self, item: WaitingRequest, pair: Pair) -> Grant:
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
        prefill = self._accounts.states_by_id.get(granted.prefill_engine)
        decode = self._accounts.states_by_id.get(granted.decode_engine)
        for state in (prefill, decode):
            if state is None:
                continue
            if finished:
                state.link.start(granted.request_id, now_s)
            else:
                state.link.drop(granted.request_id)
        if prefill is None:
            return
        job = prefill.jobs_by_request_id.pop(granted.request_id, None)
        if job is not None and not finished:
            self._observations.ended_early(prefill, job, now_s)

    def _free(self, request_id: str) -> None:
        granted = self._granted_by_request_id.pop(request_id, None)
        if granted is None:
            return
        self._limits.leave(granted.tenant, request_id)
        if granted.prefilled_s is None:
            self._end_prefill(granted, self._clock.monotonic(), finished=False)
        state = self._accounts.states_by_id.get(granted.decode_engine)
        if state is not None:
            state.account.release(request_id)

    def _withdraw(self, request_id: str, code: ResultCode) -> None:
        item = self._queue.remove(request_id)
        if item is not None:
            self._refuse(item.needs.request, code, MIN_RETRY_AFTER_S)
        self._free(request_id)

    def _refuse_for_capacity(self, item: WaitingRequest) -> None:
        now_s = self._clock.monotonic()
        capacity = self._capacity(item.model, now_s)
        drain_s = self._estimator.wait_s(self._queue.counts(), capacity)
        self._refuse(item.needs.request, ResultCode.NO_CAPACITY_IN_TIME, drain_s)

    def _refuse(
        self, request: AdmissionRequest, code: ResultCode, retry_after_s: float
    ) -> None:
        """Answer a request that is not in the queue any more.

        The delay is varied so that refused callers do not return together.
        """
        self._limits.leave(request.tenant, request.request_id)
        factor = 1.0 + self._rng.uniform(0.0, RETRY_AFTER_JITTER)
        bounded_s = min(max(retry_after_s, MIN_RETRY_AFTER_S), MAX_RETRY_AFTER_S)
        refusal = Refusal(
            request.request_id,
            code.value,
            code.name,
            int(bounded_s * factor * 1000),
            self.summary(),
        )
        self._answer(request.request_id, Failure(refusal))

    def _answer(self, request_id: str, result: Answer) -> None:
        answer = self._answers_by_request_id.get(request_id)
        if answer is not None and not answer.done():
            answer.set_result(result)

    def _arm_timer(self) -> None:
        if self._timer is not None or not len(self._queue):
            return
        try:
            loop = asyncio.get_running_loop()
        except RuntimeError:
            return  # a synchronous caller drives ``tick`` itself
        self._timer = loop.call_later(self._next_tick_s(), self._on_timer)

    def _next_tick_s(self) -> float:
        """Return the time to the next end of a prefill, within bounds."""
        now_s = self._clock.monotonic()
        ready_s = self._chooser.next_ready_s(now_s)
        return min(TICK_S, max(MIN_TICK_S, ready_s))

    def _on_timer(self) -> None:
        self._timer = None
        self.tick()


def _process_of(request_id: str) -> tuple[str, int] | None:
    """Return host id and incarnation; None for an id of another form."""
    try:
        parsed = RequestId.parse(request_id)
    except ValueError:
        return None
    return parsed.host_id, parsed.incarnation
