"""What each model engine of a service holds, as its owner accounts for it.

Load pattern: reports of engines are most of a second old, while a burst
fills all places within a tenth of that. The owner therefore counts what it
has granted itself, projects how the memory of each engine grows and shrinks
until its runs end, and learns the speed of each engine from finished work.
"""

import math
from dataclasses import dataclass, field

from .engine_registry import EngineEntry
from .failure_share import FailureShare
from .learned_mean import LearnedMean
from .memory_plan import MemoryPlan, PlannedRun
from .own_read_pauses import first_pause_s
from .relay_rules import ALL_RULES, RelayRules
from .routes import EngineSpec
from .service_pace import ServicePace

__all__ = ["MAX_GAP_S", "EngineLoad", "PrefillJob", "Run", "longest_own_read_s"]

# Weight of a new observation; an engine slowed by its neighbours shows after
# three observations.
LEARNING_RATE = 0.3

# A pause consists of the read, the time of one event and the way of the
# messages that start and end the read.
OWN_READ_MARGIN_S = 0.03
# The pause that counts as allowed where no route states one, in seconds; a
# longer one is noticed in running text.
MAX_GAP_S = 0.3
# Hosts report the pauses of a read within this time after its end: one period
# of the reports and the way of the messages.
PAUSE_REPORT_S = 0.6
# After a read each run makes an event, which takes about 0.06 s.
CATCH_UP_S = 0.08
CATCH_UP_SHARE = 0.25
# A read whose end nobody reports is over after this many times its length.
OWN_READ_LIMIT = 4.0

# Estimates of answers are right at the median and often far too short.
OVERDUE_SHARE = 0.15
MEMORY_MARGIN = 1.2
# Part of the memory that may be planned for; the engine rounds each request
# up to whole blocks.
USABLE_MEMORY = 0.97


def _unknown() -> LearnedMean:
    return LearnedMean(0.0, LEARNING_RATE)


def _known(own: LearnedMean, of_service: LearnedMean) -> float:
    return own.value if own.known else of_service.value


@dataclass
class Run:
    """A granted request at a decode engine; times are steady seconds.

    ``expected_tokens`` is the planned length of its answer and
    ``stated_tokens`` the caller's own estimate. ``made_tokens`` had been made
    at ``made_s``, as its host reported.
    """

    request_id: str
    host_id: str
    prompt_tokens: int
    expected_tokens: int
    granted_s: float
    confirmed_s: float
    stated_tokens: int = 0
    made_tokens: int = 0
    made_s: float = float("-inf")


@dataclass
class PrefillJob:
    """A prompt that a prefill engine reads for a granted request."""

    request_id: str
    tokens: int
    granted_s: float


@dataclass
class OwnRead:
    """A prompt that a decode engine reads itself.

    ``pause_s`` is the longest pause of its streams that was reported.
    """

    request_id: str
    tokens: int
    began_s: float
    ended_s: float = float("inf")
    pause_s: float | None = None


def longest_own_read_s(max_gap_s: float, spec: EngineSpec, token_ms: float) -> float:
    """Return the longest read that pauses the runs of an engine for so long.

    0 for ``max_gap_s`` means that no route states a pause.
    """
    event_s = spec.tokens_per_event * token_ms / 1000
    return (max_gap_s or MAX_GAP_S) - event_s - OWN_READ_MARGIN_S


@dataclass
class EngineLoad:
    """Work granted to one engine."""

    entry: EngineEntry
    spec: EngineSpec
    pace: ServicePace = field(default_factory=ServicePace)
    rules: RelayRules = ALL_RULES
    runs_by_id: dict[str, Run] = field(default_factory=dict)
    jobs_by_id: dict[str, PrefillJob] = field(default_factory=dict)
    blocked_until_s: float = float("-inf")
    refusals_in_row: int = 0
    changing: bool = False
    changing_until_s: float = float("-inf")
    stalled_until_s: float = float("-inf")
    failures: FailureShare = field(default_factory=FailureShare)
    own_read: OwnRead | None = None
    last_own_read: OwnRead | None = None
    reads_again_s: float = float("-inf")
    _plan: MemoryPlan | None = None
    _token_ms: LearnedMean = field(default_factory=_unknown)
    _read_tokens_per_ms: LearnedMean = field(default_factory=_unknown)
    _own_read_tokens_per_ms: LearnedMean = field(default_factory=_unknown)

    def update(self, entry: EngineEntry, spec: EngineSpec) -> None:
        """Take over a newer entry; a new role ends the change of roles."""
        if entry.role is not self.entry.role:
            self.changing = False
        self.entry, self.spec = entry, spec

    @property
    def token_ms(self) -> float:
        """Return the time between two tokens of a run, in milliseconds."""
        return _known(self._token_ms, self.pace.token_ms)

    @property
    def read_tokens_per_ms(self) -> float:
        """Return the speed at which this engine reads prompts."""
        return _known(self._read_tokens_per_ms, self.pace.read_tokens_per_ms)

    @property
    def own_read_tokens_per_ms(self) -> float:
        """Return the speed at which it reads them beside its runs."""
        return _known(self._own_read_tokens_per_ms, self.pace.own_read_tokens_per_ms)

    @property
    def places(self) -> int:
        """Return how many requests run at once."""
        return self.entry.places or self.spec.places

    def free_places(self) -> int:
        """Return the places that no run holds."""
        return self.places - len(self.runs_by_id)

    def remaining_s(self, run: Run, now_s: float) -> float:
        """Return the expected time until a run ends.

        A run that lasts longer than expected is expected to go on for a
        part of what it has lasted.
        """
        lasted_s = now_s - run.granted_s
        left_s = self.duration_s(run) - lasted_s
        if run.made_tokens > 0:
            to_make = run.expected_tokens - run.made_tokens
            left_s = to_make * self.token_ms / 1000 - (now_s - run.made_s)
        return max(OVERDUE_SHARE * lasted_s, left_s)

    def duration_s(self, run: Run) -> float:
        """Return the expected time of a run from its grant to its end."""
        read_ms = run.prompt_tokens / self.read_tokens_per_ms
        return (read_ms + run.expected_tokens * self.token_ms) / 1000

    def fits(
        self,
        prompt_tokens: int,
        expected_tokens: int,
        now_s: float,
        estimate_error: float,
    ) -> bool:
        """Tell whether a further run fits until its end.

        ``estimate_error`` is the standard error of the expected tokens, as a
        part of them. Estimates err independently, so the room for their errors
        grows with the root of the number of runs. Too little room preempts
        runs, which reads their prompts again.
        """
        if self.free_places() <= 0 or now_s < self.blocked_until_s:
            return False
        expected = [run.expected_tokens for run in self.runs_by_id.values()]
        spread = math.sqrt(sum(tokens**2 for tokens in (*expected, expected_tokens)))
        begins_s = now_s + prompt_tokens / self.read_tokens_per_ms / 1000
        limit = self.spec.memory_tokens * USABLE_MEMORY
        if not self.rules.memory_plan:
            runs = self.runs_by_id.values()
            used = sum(run.prompt_tokens + run.made_tokens for run in runs)
            return used + prompt_tokens <= limit
        plan = self._memory_plan(now_s)
        peak = plan.peak_with(prompt_tokens, expected_tokens, begins_s)
        return peak + estimate_error * spread <= limit

    def add_run(self, run: Run) -> None:
        """Note that a request holds a place."""
        self.runs_by_id[run.request_id] = run
        self._plan = None

    def remove_run(self, request_id: str) -> Run | None:
        """Free a place; return the run that held it, if any."""
        run = self.runs_by_id.pop(request_id, None)
        if run is not None:
            self._plan = None
        return run

    def _memory_plan(self, now_s: float) -> MemoryPlan:
        """Return the plan; runs that outlast it make a new one."""
        if self._plan is None or now_s >= self._plan.first_end_s:
            runs = (self._planned(run, now_s) for run in self.runs_by_id.values())
            self._plan = MemoryPlan(runs, now_s, 1000 / self.token_ms)
        return self._plan

    def _planned(self, run: Run, now_s: float) -> PlannedRun:
        if run.made_tokens > 0:
            made = run.made_tokens + (now_s - run.made_s) * 1000 / self.token_ms
        else:
            read_ms = run.prompt_tokens / self.read_tokens_per_ms
            made = ((now_s - run.granted_s) * 1000 - read_ms) / self.token_ms
        limit = max(MEMORY_MARGIN * run.expected_tokens, float(run.made_tokens))
        tokens = run.prompt_tokens + min(limit, max(0.0, made))
        end_s = now_s + self.remaining_s(run, now_s)
        return PlannedRun(tokens, end_s, made < run.expected_tokens)

    def read_backlog_ms(self) -> float:
        """Return the time to read the prompts granted to this engine."""
        tokens = sum(job.tokens for job in self.jobs_by_id.values())
        return tokens / self.read_tokens_per_ms

    def own_read_s(self, tokens: int) -> float:
        """Return the time in which a decode engine can read prompts itself."""
        return tokens / self.own_read_tokens_per_ms / 1000

    def longest_own_read_s(self, max_gap_s: float) -> float:
        """Return the longest read that pauses no run for too long."""
        return longest_own_read_s(max_gap_s, self.spec, self.token_ms)

    def begin_own_read(self, request_id: str, tokens: int, now_s: float) -> None:
        """Note that this decode engine reads a prompt itself.

        Its runs make hardly any progress meanwhile, so the next prompt waits
        until this one is read and they have caught up.
        """
        self.own_read = OwnRead(request_id, tokens, now_s)
        self.reads_again_s = now_s + OWN_READ_LIMIT * self.own_read_s(tokens)

    def end_own_read(self, request_id: str, read_ms: float, now_s: float) -> None:
        """Note that the prompt is read, or that its request is gone.

        ``read_ms`` is 0 in the second case. The run of a prompt that was read
        has made an event.
        """
        read = self.own_read
        if read is None or read.request_id != request_id:
            return
        took_s = now_s - read.began_s
        read.ended_s = now_s
        self.own_read, self.last_own_read = None, read
        self.reads_again_s = now_s + CATCH_UP_S + CATCH_UP_SHARE * took_s
        if read_ms > 0:
            rate = read.tokens / read_ms
            self._own_read_tokens_per_ms.observe(rate)
            self.pace.own_read_tokens_per_ms.observe(rate)

    def observe_read(self, tokens: int, took_ms: float, behind_ms: float) -> None:
        """Learn the reading speed; other prompts took ``behind_ms``."""
        own_ms = max(1.0, took_ms - behind_ms)
        self._read_tokens_per_ms.observe(tokens / own_ms)
        self.pace.read_tokens_per_ms.observe(tokens / own_ms)

    def observe_gap(self, gap_ms: float) -> None:
        """Learn the pace from the mean time between two events of a run."""
        token_ms = gap_ms / self.spec.tokens_per_event
        self._token_ms.observe(token_ms)
        self._plan = None
        self.pace.token_ms.observe(token_ms)

    def pause_s(self, tokens: int) -> float:
        """Return how long the streams pause while a prompt is read here."""
        first_s = first_pause_s(self.spec.tokens_per_event, self.own_read_tokens_per_ms)
        return self.pace.own_read_pauses.expected_s(self.own_read_s(tokens), first_s)

    def note_pause(self, run: Run, longest_gap_s: float, now_s: float) -> None:
        """Take over the longest gap of a run since its last report."""
        read = self.last_own_read
        if read is None or now_s - read.ended_s > PAUSE_REPORT_S:
            self._learn_pause()
            return
        if run.request_id != read.request_id and run.granted_s < read.began_s:
            event_s = self.spec.tokens_per_event * self.token_ms / 1000
            read.pause_s = max(read.pause_s or 0.0, longest_gap_s - event_s)

    def _learn_pause(self) -> None:
        """Learn from a read when all hosts have reported what it paused."""
        read, self.last_own_read = self.last_own_read, None
        if read is not None and read.pause_s is not None:
            read_s = read.ended_s - read.began_s
            self.pace.own_read_pauses.observe(read_s, read.pause_s)

    def note_progress(self, run: Run, made_tokens: int, gap_ms: float) -> None:
        """Take over the progress of a run that is not over, at its report."""
        if made_tokens > run.made_tokens:
            run.made_tokens, run.made_s = made_tokens, run.confirmed_s
            self._plan = None
        if gap_ms > 0 and not self._token_ms.known:
            self.observe_gap(gap_ms)

    def refused(self, now_s: float, first_pause_s: float) -> None:
        """Note that the engine was full although a place was counted."""
        self.refusals_in_row += 1
        pause_s = first_pause_s * min(8, 2 ** (self.refusals_in_row - 1))
        self.blocked_until_s = max(self.blocked_until_s, now_s + pause_s)

    def accepted(self) -> None:
        """Note that the engine took a run."""
        self.refusals_in_row = 0
