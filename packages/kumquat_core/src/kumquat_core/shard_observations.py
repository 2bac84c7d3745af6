"""What a shard owner learns from messages, load reports and cache events.

Observations correct the estimates of engine speeds, prefix caches and
durations. Decisions use these estimates; they never change the ledger.
"""

from collections.abc import Iterable

from .clock import Clock
from .engine_client import CacheEvent, EngineReport
from .granted_requests import GrantedRequest
from .pairing import nominal_prefill_s
from .peer_messages import PrefillDone, Release
from .prefix_index import PrefixIndex
from .result_codes import ResultCode
from .shard_ledger import EngineState, PrefillJob, ShardLedger
from .stragglers import OVERDUE_RATIO, SpeedTracker, overdue_ratio, scaled_time_s
from .wait_estimate import WaitEstimator

__all__ = ["ShardObservations"]

# A pause prolongs one prefill by up to 1.6 s, many times its duration. Beyond
# this multiple of what the engine's last prefills let expect, a duration does
# not count in the mean, which would look like an overload.
OUTLIER_RATIO = 3.0


class ShardObservations:
    """Passes observations on to the estimates that they correct."""

    def __init__(
        self,
        clock: Clock,
        ledger: ShardLedger,
        speeds: SpeedTracker,
        prefixes: PrefixIndex,
        estimator: WaitEstimator,
    ) -> None:
        self._clock = clock
        self._ledger = ledger
        self._speeds = speeds
        self._prefixes = prefixes
        self._estimator = estimator

    def prefill(
        self, granted: GrantedRequest, message: PrefillDone, now_s: float
    ) -> None:
        """Record the duration and the cached tokens of a finished prefill."""
        state = self._ledger.states_by_id.get(granted.prefill_engine)
        if state is None or granted.needs is None:
            return
        job = state.jobs_by_request_id.get(granted.request_id)
        if job is None:
            return
        request = granted.needs.request
        tokens = request.prompt_tokens + request.resume_tokens
        uncached = max(0, tokens - message.cached_tokens)
        nominal_s = nominal_prefill_s(state.engine, uncached)
        observed_s = max(0.0, message.prefill_ms / 1000 - job.waited_s)
        ratio = self._speeds.prefill_ratio(state.engine.id, now_s)
        longest_s = scaled_time_s(nominal_s, OUTLIER_RATIO * ratio)
        self._speeds.observe_prefill(state.engine.id, nominal_s, observed_s, now_s)
        self._estimator.observe_prefill(request.class_name, min(observed_s, longest_s))
        cached_blocks = message.cached_tokens / granted.needs.tokens_per_block
        self._prefixes.adjust_capacity(
            state.engine.id, job.expected_blocks, cached_blocks
        )

    def release(self, granted: GrantedRequest, message: Release, now_s: float) -> None:
        """Record what the entry host observed during a request that ended."""
        if message.failed_engine:
            self._speeds.observe_failure(message.failed_engine, now_s)
        state = self._ledger.states_by_id.get(granted.decode_engine)
        if state is not None and message.tbt_ms > 0:
            nominal_ms = state.reservations.step_ms(state.reservations.request_count)
            self._speeds.observe_step(
                state.engine.id, nominal_ms, message.tbt_ms, now_s
            )
        if message.code == ResultCode.OK and granted.needs is not None:
            class_name = granted.needs.request.class_name
            self._estimator.observe_hold(class_name, now_s - granted.granted_s)

    def cancelled_prefill(
        self, state: EngineState, job: PrefillJob, now_s: float
    ) -> None:
        """Record the duration of a cancelled prefill if it was overdue."""
        elapsed_s = now_s - job.started_s
        baseline = self._speeds.prefill_ratio(state.engine.id, now_s)
        if overdue_ratio(job.nominal_s, elapsed_s) > OVERDUE_RATIO * baseline:
            self._speeds.observe_prefill(
                state.engine.id, job.nominal_s, elapsed_s, now_s
            )

    def report(self, engine_id: str, report: EngineReport) -> None:
        """Record the step time of a load report as an observation of speed."""
        state = self._ledger.states_by_id.get(engine_id)
        if state is None or not report.requests or report.step_ms <= 0:
            return
        nominal_ms = state.reservations.step_ms(len(report.requests))
        now_s = self._clock.monotonic()
        self._speeds.observe_step(engine_id, nominal_ms, report.step_ms, now_s)

    def cache_events(self, engine_id: str, events: Iterable[CacheEvent]) -> None:
        """Apply cache events to the estimate of an engine's prefix cache."""
        now_s = self._clock.monotonic()
        for event in events:
            self._prefixes.apply_event(
                engine_id, event.sequence, event.kind, event.prefix, now_s
            )
