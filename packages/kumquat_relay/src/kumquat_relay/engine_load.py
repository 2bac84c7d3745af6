"""Tracks the load of each model engine of a service at the owner.

Load pattern: engine reports are up to a second old, while a burst fills all
slots within a tenth of that time. The owner therefore counts its own grants,
forecasts the memory use of each engine until its runs end, and estimates the
speed of each engine from finished work.
"""

import math
from dataclasses import dataclass, field

from .engine_registry import EngineEntry
from .local_prefill_pauses import initial_pause_s
from .memory_forecast import ForecastRun, MemoryForecast
from .outlier_detection import OutcomeWindow
from .relay_rules import ALL_RULES, RelayRules
from .routes import EngineSpec
from .running_mean import RunningMean
from .service_performance import ServicePerformance

__all__ = [
    "DEFAULT_MAX_GAP_S",
    "EngineLoad",
    "PrefillJob",
    "Run",
    "max_local_prefill_s",
]

# Minimum weight of a new observation. An engine that is slowed down by other
# load on its machine is recognized after three observations.
LEARNING_RATE = 0.3

# A pause consists of the local prefill, the time of one event and the latency
# of the messages that start and end the prefill.
LOCAL_PREFILL_MARGIN_S = 0.03
# Longest acceptable pause between events for routes that configure none;
# longer ones are noticeable in streamed text.
DEFAULT_MAX_GAP_S = 0.3
# Hosts report the pauses caused by a local prefill within this time after its
# end: one report period plus the message latency.
PAUSE_REPORT_DELAY_S = 0.6
# After a local prefill each run produces an event, which takes about 0.06 s.
RECOVERY_S = 0.08
RECOVERY_SHARE = 0.25
# A local prefill whose end is never reported counts as finished after this
# multiple of its expected duration.
LOCAL_PREFILL_TIMEOUT_FACTOR = 4.0

# Estimated output lengths are right at the median and often far too short.
# Runs that overrun their estimate are expected to last for a further
# OVERRUN_SHARE of the time elapsed. Their memory is forecast to grow up to
# MEMORY_MARGIN times the estimate.
OVERRUN_SHARE = 0.15
MEMORY_MARGIN = 1.2
# Share of the memory that may be allocated, since the engine rounds each
# request up to whole blocks.
USABLE_MEMORY_SHARE = 0.97


def _empty_mean() -> RunningMean:
    """Return a mean without observations; its initial value is not used."""
    return RunningMean(0.0, LEARNING_RATE)


def _value_or_default(engine_mean: RunningMean, service_mean: RunningMean) -> float:
    """Return the mean of an engine, or of its service until it has one."""
    return engine_mean.value if engine_mean.has_observations else service_mean.value


@dataclass
class Run:
    """A granted request that holds a slot of a decode engine.

    Times are monotonic seconds. ``expected_tokens`` is the predicted output
    length and ``declared_tokens`` the caller's own estimate.
    ``generated_tokens`` is the progress at ``progress_s`` that the host of
    the run reported.
    """

    request_id: str
    host_id: str
    prompt_tokens: int
    expected_tokens: int
    granted_s: float
    confirmed_s: float
    declared_tokens: int = 0
    generated_tokens: int = 0
    progress_s: float = float("-inf")


@dataclass
class PrefillJob:
    """The prompt of a granted request that is assigned to a prefill engine."""

    request_id: str
    tokens: int
    granted_s: float


@dataclass
class LocalPrefill:
    """A prompt that a decode engine prefills itself.

    ``pause_s`` is the longest reported pause of the other runs of the engine.
    """

    request_id: str
    tokens: int
    started_s: float
    ended_s: float = float("inf")
    pause_s: float | None = None


def max_local_prefill_s(max_gap_s: float, spec: EngineSpec, token_ms: float) -> float:
    """Return the longest local prefill that keeps gaps within ``max_gap_s``.

    A ``max_gap_s`` of 0 selects ``DEFAULT_MAX_GAP_S``.
    """
    event_s = spec.tokens_per_event * token_ms / 1000
    return (max_gap_s or DEFAULT_MAX_GAP_S) - event_s - LOCAL_PREFILL_MARGIN_S


@dataclass
class EngineLoad:
    """The work granted to one engine and its estimated speed."""

    entry: EngineEntry
    spec: EngineSpec
    performance: ServicePerformance = field(default_factory=ServicePerformance)
    rules: RelayRules = ALL_RULES
    runs_by_id: dict[str, Run] = field(default_factory=dict)
    jobs_by_id: dict[str, PrefillJob] = field(default_factory=dict)
    backoff_until_s: float = float("-inf")
    consecutive_refusals: int = 0
    role_changing: bool = False
    role_change_until_s: float = float("-inf")
    stalled_until_s: float = float("-inf")
    outcomes: OutcomeWindow = field(default_factory=OutcomeWindow)
    local_prefill: LocalPrefill | None = None
    last_local_prefill: LocalPrefill | None = None
    next_local_prefill_s: float = float("-inf")
    _forecast: MemoryForecast | None = None
    _token_ms: RunningMean = field(default_factory=_empty_mean)
    _prefill_tokens_per_ms: RunningMean = field(default_factory=_empty_mean)
    _local_prefill_tokens_per_ms: RunningMean = field(default_factory=_empty_mean)

    def update(self, entry: EngineEntry, spec: EngineSpec) -> None:
        """Replace the registry entry; a new role ends a role change."""
        if entry.role is not self.entry.role:
            self.role_changing = False
        self.entry, self.spec = entry, spec

    @property
    def token_ms(self) -> float:
        """Return the time between two tokens of a run, in milliseconds."""
        return _value_or_default(self._token_ms, self.performance.token_ms)

    @property
    def prefill_tokens_per_ms(self) -> float:
        """Return the speed at which this engine prefills prompts."""
        return _value_or_default(
            self._prefill_tokens_per_ms, self.performance.prefill_tokens_per_ms
        )

    @property
    def local_prefill_tokens_per_ms(self) -> float:
        """Return the prefill speed of this engine alongside its runs."""
        return _value_or_default(
            self._local_prefill_tokens_per_ms,
            self.performance.local_prefill_tokens_per_ms,
        )

    @property
    def slots(self) -> int:
        """Return the number of requests that can run concurrently."""
        return self.entry.slots or self.spec.slots

    def free_slots(self) -> int:
        """Return the number of slots that no run holds.

        It is negative if hosts reported more runs than there are slots.
        """
        return self.slots - len(self.runs_by_id)

    def remaining_s(self, run: Run, now_s: float) -> float:
        """Return the expected time until a run ends.

        A run that has exceeded its expected duration is expected to last for
        a further share of the time elapsed.
        """
        elapsed_s = now_s - run.granted_s
        left_s = self.duration_s(run) - elapsed_s
        if run.generated_tokens > 0:
            remaining_tokens = run.expected_tokens - run.generated_tokens
            left_s = remaining_tokens * self.token_ms / 1000 - (now_s - run.progress_s)
        return max(OVERRUN_SHARE * elapsed_s, left_s)

    def duration_s(self, run: Run) -> float:
        """Return the expected duration of a run, from its grant to its end."""
        prefill_ms = run.prompt_tokens / self.prefill_tokens_per_ms
        return (prefill_ms + run.expected_tokens * self.token_ms) / 1000

    def fits(
        self,
        prompt_tokens: int,
        expected_tokens: int,
        now_s: float,
        estimate_error: float,
    ) -> bool:
        """Return whether a slot is free and the memory suffices for a new run.

        ``estimate_error`` is the relative standard error of the expected
        tokens. Estimation errors are independent, so the memory headroom for
        them grows with the square root of the number of runs. With too little
        headroom the engine preempts runs and has to prefill them again.
        """
        if self.free_slots() <= 0 or now_s < self.backoff_until_s:
            return False
        expected = [run.expected_tokens for run in self.runs_by_id.values()]
        norm_tokens = math.sqrt(
            sum(tokens**2 for tokens in (*expected, expected_tokens))
        )
        first_token_s = now_s + prompt_tokens / self.prefill_tokens_per_ms / 1000
        limit = self.spec.memory_tokens * USABLE_MEMORY_SHARE
        if not self.rules.memory_plan:
            runs = self.runs_by_id.values()
            used_tokens = sum(run.prompt_tokens + run.generated_tokens for run in runs)
            return used_tokens + prompt_tokens <= limit
        forecast = self._current_forecast(now_s)
        peak = forecast.peak_usage(prompt_tokens, expected_tokens, first_token_s)
        return peak + estimate_error * norm_tokens <= limit

    def add_run(self, run: Run) -> None:
        """Add a run, which holds a slot from now on."""
        self.runs_by_id[run.request_id] = run
        self._forecast = None

    def remove_run(self, request_id: str) -> Run | None:
        """Remove a run, which frees its slot; return it if it was known."""
        run = self.runs_by_id.pop(request_id, None)
        if run is not None:
            self._forecast = None
        return run

    def _current_forecast(self, now_s: float) -> MemoryForecast:
        """Return the memory forecast.

        It is computed anew when runs have changed, or when the first run has
        outlasted its expected end.
        """
        if self._forecast is None or now_s >= self._forecast.first_end_s:
            runs = (self._forecast_run(run, now_s) for run in self.runs_by_id.values())
            self._forecast = MemoryForecast(runs, now_s, 1000 / self.token_ms)
        return self._forecast

    def _forecast_run(self, run: Run, now_s: float) -> ForecastRun:
        """Extrapolate the memory use of a run from its last known progress."""
        if run.generated_tokens > 0:
            generated = (
                run.generated_tokens + (now_s - run.progress_s) * 1000 / self.token_ms
            )
        else:
            prefill_ms = run.prompt_tokens / self.prefill_tokens_per_ms
            generated = ((now_s - run.granted_s) * 1000 - prefill_ms) / self.token_ms
        limit = max(MEMORY_MARGIN * run.expected_tokens, float(run.generated_tokens))
        tokens = run.prompt_tokens + min(limit, max(0.0, generated))
        end_s = now_s + self.remaining_s(run, now_s)
        return ForecastRun(tokens, end_s, generated < run.expected_tokens)

    def prefill_backlog_ms(self) -> float:
        """Return the time to prefill all prompts assigned to this engine."""
        tokens = sum(job.tokens for job in self.jobs_by_id.values())
        return tokens / self.prefill_tokens_per_ms

    def local_prefill_s(self, tokens: int) -> float:
        """Return the time that a local prefill of that length takes."""
        return tokens / self.local_prefill_tokens_per_ms / 1000

    def max_local_prefill_s(self, max_gap_s: float) -> float:
        """Return the longest local prefill that respects the gap limit."""
        return max_local_prefill_s(max_gap_s, self.spec, self.token_ms)

    def begin_local_prefill(self, request_id: str, tokens: int, now_s: float) -> None:
        """Record that this decode engine starts to prefill a prompt itself.

        Its runs make hardly any progress meanwhile. The next local prefill
        therefore waits until this one has ended and the runs have produced
        events again.
        """
        self.local_prefill = LocalPrefill(request_id, tokens, now_s)
        self.next_local_prefill_s = (
            now_s + LOCAL_PREFILL_TIMEOUT_FACTOR * self.local_prefill_s(tokens)
        )

    def end_local_prefill(
        self, request_id: str, prefill_ms: float, now_s: float
    ) -> None:
        """Record the end of a local prefill, or that its request has ended.

        ``prefill_ms`` is 0 in the second case. When a prefill is complete,
        its run has produced an event.
        """
        prefill = self.local_prefill
        if prefill is None or prefill.request_id != request_id:
            return
        took_s = now_s - prefill.started_s
        prefill.ended_s = now_s
        self.local_prefill, self.last_local_prefill = None, prefill
        self.next_local_prefill_s = now_s + RECOVERY_S + RECOVERY_SHARE * took_s
        if prefill_ms > 0 and prefill.tokens > 0:
            rate = prefill.tokens / prefill_ms
            self._local_prefill_tokens_per_ms.observe(rate)
            self.performance.local_prefill_tokens_per_ms.observe(rate)

    def observe_prefill(self, tokens: int, total_ms: float, queued_ms: float) -> None:
        """Update the prefill speed from a finished prompt.

        ``total_ms`` includes ``queued_ms``, in which the engine processed the
        prompts ahead. An empty prompt shows no speed.
        """
        if tokens <= 0:
            return
        net_ms = max(1.0, total_ms - queued_ms)
        self._prefill_tokens_per_ms.observe(tokens / net_ms)
        self.performance.prefill_tokens_per_ms.observe(tokens / net_ms)

    def observe_gap(self, gap_ms: float) -> None:
        """Update the time per token from the mean gap between events."""
        token_ms = gap_ms / self.spec.tokens_per_event
        self._token_ms.observe(token_ms)
        self._forecast = None
        self.performance.token_ms.observe(token_ms)

    def expected_pause_s(self, tokens: int) -> float:
        """Return the expected pause of the runs during a local prefill."""
        initial_s = initial_pause_s(
            self.spec.tokens_per_event, self.local_prefill_tokens_per_ms
        )
        return self.performance.local_prefill_pauses.expected_s(
            self.local_prefill_s(tokens), initial_s
        )

    def record_longest_gap(self, run: Run, longest_gap_s: float, now_s: float) -> None:
        """Attribute the longest reported gap of a run to a local prefill.

        Only runs that had been granted before the last local prefill count,
        within ``PAUSE_REPORT_DELAY_S`` of its end.
        """
        prefill = self.last_local_prefill
        if prefill is None or now_s - prefill.ended_s > PAUSE_REPORT_DELAY_S:
            self._observe_pause()
            return
        if run.request_id != prefill.request_id and run.granted_s < prefill.started_s:
            event_s = self.spec.tokens_per_event * self.token_ms / 1000
            prefill.pause_s = max(prefill.pause_s or 0.0, longest_gap_s - event_s)

    def _observe_pause(self) -> None:
        """Update the pause estimate once all hosts have reported."""
        prefill, self.last_local_prefill = self.last_local_prefill, None
        if prefill is not None and prefill.pause_s is not None:
            prefill_s = prefill.ended_s - prefill.started_s
            self.performance.local_prefill_pauses.observe(prefill_s, prefill.pause_s)

    def record_progress(self, run: Run, generated_tokens: int, gap_ms: float) -> None:
        """Update the progress of a run from the report of its host.

        The mean gap of a running stream is used as long as the engine has no
        estimate of its time per token.
        """
        if generated_tokens > run.generated_tokens:
            run.generated_tokens, run.progress_s = generated_tokens, run.confirmed_s
            self._forecast = None
        if gap_ms > 0 and not self._token_ms.has_observations:
            self.observe_gap(gap_ms)

    def record_refusal(self, now_s: float, initial_backoff_s: float) -> None:
        """Back off exponentially after the engine refused a run as full.

        The back-off is limited to eight times ``initial_backoff_s``.
        """
        self.consecutive_refusals += 1
        backoff_s = initial_backoff_s * min(8, 2 ** (self.consecutive_refusals - 1))
        self.backoff_until_s = max(self.backoff_until_s, now_s + backoff_s)

    def record_acceptance(self) -> None:
        """Reset the back-off after the engine accepted a run."""
        self.consecutive_refusals = 0
