"""One queue for all places of a service with model engines.

Load pattern: at a peak two to four times as many streams arrive as there are
places, for some seconds, and then the load falls below the capacity again.
An answer that begins after its objective is worth a fraction, and a caller
leaves when no event arrives for too long.

Requests that can still meet their objective go first, by priority and then
by the time they have left; requests that are late anyway use what remains. A
request that cannot begin in time is refused on arrival, with the time at
which the places that are taken are expected to be free, so that it returns
when the peak is over. Nothing is refused while a place is free. A request
whose time runs out in the queue is refused at that moment.

The queue holds no clock of its own and does no I/O: every call returns the
``Decision`` objects that follow from it.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field

from kumquat_core.peer_messages import HeldRun, RunRequest

from .engine_health import EngineHealth
from .engine_load import EngineLoad, PrefillJob, Run
from .engine_registry import EngineEntry, EngineRegistry, EngineRole
from .return_times import ReturnTimes
from .routes import EngineSpec
from .stage_plan import Demand

__all__ = ["Decision", "Granted", "QueueTerms", "Refused", "StreamQueue"]


# A request that waits longer than a prompt is read, with places free, waits
# for memory.
MEMORY_WAIT_S = 0.15


@dataclass(frozen=True)
class QueueTerms:
    """Figures of the queue; times in seconds.

    ``full_pause_s``: no grant for an engine that refused for lack of room.
    ``unconfirmed_s``: a grant that no host reports as held is dropped.
    ``read_ahead_s``: a place is granted only when the prompts ahead at the
    prefill engine are read within this time, so that places do not wait.
    ``own_read_s``: a decode engine with running streams reads no prompt that
    takes longer.
    ``late_reserve``: part of the places that late requests leave free.
    """

    # A run ends every 0.15 s at an engine with twelve places.
    full_pause_s: float = 0.15
    # Three reports of held runs.
    unconfirmed_s: float = 1.6
    # One prompt of a usual size.
    read_ahead_s: float = 0.12
    # A prompt is read in 0.1 s and its first event follows within 0.1 s.
    start_s: float = 0.2
    # Late requests may wait together for this share of the places.
    late_share: float = 0.5
    # Late requests do not wait while others on time are refused.
    saturated_s: float = 1.0
    # Streams are late after a pause of 0.3 s; one event takes 0.06 s.
    own_read_s: float = 0.19
    # Stalls are reported again while they last.
    stall_s: float = 0.6
    late_reserve: float = 0.1


@dataclass(frozen=True)
class Granted:
    """A place at a decode engine; ``prefill_engine`` may be empty.

    Without a prefill engine the decode engine reads the prompt.
    """

    request_id: str
    decode: EngineEntry
    prefill: EngineEntry | None
    waited_s: float
    free_places: int


@dataclass(frozen=True)
class Refused:
    """No place for a request that has not run."""

    request_id: str
    reason: str
    retry_after_s: float
    waiting: int
    free_places: int


Decision = Granted | Refused


@dataclass
class _Waiting:
    request: RunRequest
    host_id: str
    arrived_s: float
    on_time_until_s: float
    leaves_s: float
    excluded: set[str] = field(default_factory=set)

    @property
    def give_up_s(self) -> float:
        """Return when waiting is in vain.

        A request that came in time has nothing to gain from waiting longer
        than that: it can return when the peak is over.
        """
        if self.arrived_s <= self.on_time_until_s:
            return self.on_time_until_s
        return self.leaves_s

    def is_late(self, now_s: float) -> bool:
        return now_s > self.on_time_until_s


class StreamQueue:
    """Places, prompts and waiting requests of one service."""

    def __init__(
        self,
        service: str,
        registry: EngineRegistry,
        health: EngineHealth,
        return_times: ReturnTimes,
        terms: QueueTerms | None = None,
    ) -> None:
        self.service = service
        self._registry = registry
        self._health = health
        self._return_times = return_times
        self.terms = terms or QueueTerms()
        self._loads_by_id: dict[str, EngineLoad] = {}
        self._waiting_by_id: dict[str, _Waiting] = {}
        self._paused_until_s = float("-inf")
        self._saturated_until_s = float("-inf")
        self.demand = Demand()

    @property
    def waiting_count(self) -> int:
        """Return the number of waiting requests."""
        return len(self._waiting_by_id)

    def pause(self, until_s: float) -> None:
        """Grant and refuse nothing until the running work is reported."""
        self._paused_until_s = until_s

    def refresh(self, spec: EngineSpec) -> None:
        """Take over the engines that are known now."""
        for entry in self._registry.all_entries():
            if entry.service != self.service:
                continue
            load = self._loads_by_id.get(entry.id)
            if load is None or load.entry.born_ms != entry.born_ms:
                self._loads_by_id[entry.id] = EngineLoad(entry, spec)
            else:
                load.update(entry, spec)
        for engine_id in list(self._loads_by_id):
            if self._registry.get(engine_id) is None:
                del self._loads_by_id[engine_id]

    def add(self, request: RunRequest, host_id: str, now_s: float) -> list[Decision]:
        """Place a request, let it wait, or refuse it."""
        self.demand.add(request.prompt_tokens, request.expected_tokens, now_s)
        start_s = self.terms.start_s
        waiting = _Waiting(
            request,
            host_id,
            now_s,
            on_time_until_s=now_s + request.objective_ms / 1000 - start_s,
            leaves_s=now_s + request.patience_ms / 1000 - start_s,
            excluded=set(request.excluded),
        )
        self._waiting_by_id[request.request_id] = waiting
        decisions = self.advance(now_s)
        if now_s < self._paused_until_s:
            return decisions
        if request.request_id not in self._waiting_by_id:
            return decisions
        reason = self._reason_to_refuse(waiting, now_s)
        if reason:
            decisions.append(self._refuse(waiting, reason, now_s))
        return decisions

    def advance(self, now_s: float) -> list[Decision]:
        """Grant what fits and refuse what ran out of time."""
        decisions: list[Decision] = []
        if now_s < self._paused_until_s:
            return decisions
        for waiting in sorted(
            self._waiting_by_id.values(), key=lambda item: self._rank(item, now_s)
        ):
            if now_s >= waiting.give_up_s:
                decisions.append(self._refuse(waiting, "waited_too_long", now_s))
                continue
            granted = self._try_grant(waiting, now_s)
            if granted is not None:
                decisions.append(granted)
        return decisions

    def next_due_s(self, now_s: float) -> float | None:
        """Return when ``advance`` is needed without any other event."""
        if not self._waiting_by_id:
            return None
        times = [waiting.give_up_s for waiting in self._waiting_by_id.values()]
        for load in self._decode_loads():
            times += [load.blocked_until_s, load.reads_again_s]
        times.append(self._paused_until_s)
        return min((time for time in times if time > now_s), default=now_s)

    def reader_of(self, request_id: str) -> str:
        """Return the prefill engine that reads for a request, or nothing."""
        for load in self._loads_by_id.values():
            if request_id in load.jobs_by_id:
                return load.entry.id
        return ""

    def prefilled(self, request_id: str, read_ms: float, now_s: float) -> None:
        """Note that the prompt of a granted request was read.

        ``read_ms`` is 0 when that failed.
        """
        for load in self._loads_by_id.values():
            load.end_own_read(request_id, now_s)
            job = load.jobs_by_id.pop(request_id, None)
            if job is None:
                continue
            if read_ms > 0:
                ahead = [
                    other
                    for other in load.jobs_by_id.values()
                    if other.granted_s <= job.granted_s
                ]
                behind_ms = sum(o.tokens for o in ahead) / load.read_tokens_per_ms
                load.observe_read(job.tokens, read_ms, behind_ms)

    def runs_by_engine(self) -> dict[str, int]:
        """Return the number of runs at each engine."""
        return {
            engine_id: len(load.runs_by_id) + len(load.jobs_by_id)
            for engine_id, load in self._loads_by_id.items()
        }

    def set_changing(self, engine_id: str, until_s: float) -> None:
        """Grant nothing at an engine until its entry shows its new role."""
        load = self._loads_by_id.get(engine_id)
        if load is not None:
            load.changing = True
            load.changing_until_s = until_s

    def stalled(self, engine_id: str, now_s: float) -> None:
        """Prefer other engines to one whose runs make no progress."""
        load = self._loads_by_id.get(engine_id)
        if load is not None:
            load.stalled_until_s = now_s + self.terms.stall_s

    def changed(self, engine_id: str) -> None:
        """Grant again at an engine whose change of role is over."""
        load = self._loads_by_id.get(engine_id)
        if load is not None:
            load.changing = False

    def engine_of(self, request_id: str) -> str:
        """Return the decode engine that a request holds, or nothing."""
        for load in self._loads_by_id.values():
            if request_id in load.runs_by_id:
                return load.entry.id
        return ""

    def ended(self, request_id: str, gap_ms: float, now_s: float) -> None:
        """Free what a request holds; learn the engine's pace from it."""
        self._waiting_by_id.pop(request_id, None)
        for load in self._loads_by_id.values():
            load.end_own_read(request_id, now_s)
            load.jobs_by_id.pop(request_id, None)
            run = load.runs_by_id.pop(request_id, None)
            if run is not None and gap_ms > 0:
                load.observe_gap(gap_ms)
                load.accepted()

    def engine_full(self, engine_id: str, now_s: float) -> None:
        """Note that an engine refused a granted run for lack of room."""
        load = self._loads_by_id.get(engine_id)
        if load is not None:
            load.refused(now_s, self.terms.full_pause_s)

    def confirm(self, host_id: str, runs: Iterable[HeldRun], now_s: float) -> int:
        """Take over a host's report of the runs it holds.

        Unknown runs are adopted, missing ones dropped once they are older
        than a report can be. Returns how many were adopted or dropped.
        """
        held_by_id = {run.request_id: run for run in runs}
        changed = 0
        for load in self._loads_by_id.values():
            for run in list(load.runs_by_id.values()):
                held = held_by_id.get(run.request_id)
                if held is not None and held.decode_engine == load.entry.id:
                    run.confirmed_s = now_s
                    del held_by_id[run.request_id]
                elif run.host_id == host_id and self._is_stale(run, now_s):
                    self._drop(load, run.request_id)
                    changed += 1
        for held in held_by_id.values():
            changed += self._adopt(held, host_id, now_s)
        return changed

    def drop_unconfirmed(self, now_s: float) -> int:
        """Drop the runs of hosts that report no longer; return the number."""
        dropped = 0
        for load in self._loads_by_id.values():
            for run in list(load.runs_by_id.values()):
                if self._is_stale(run, now_s):
                    self._drop(load, run.request_id)
                    dropped += 1
        return dropped

    def free_places(self) -> int:
        """Return the free places of all usable decode engines."""
        return sum(max(0, load.free_places()) for load in self._decode_loads())

    def _rank(self, item: _Waiting, now_s: float) -> tuple[bool, int, float]:
        return (item.is_late(now_s), item.request.priority, item.on_time_until_s)

    def _is_stale(self, run: Run, now_s: float) -> bool:
        return now_s - run.confirmed_s > self.terms.unconfirmed_s

    def _drop(self, load: EngineLoad, request_id: str) -> None:
        load.runs_by_id.pop(request_id, None)
        for other in self._loads_by_id.values():
            other.jobs_by_id.pop(request_id, None)

    def _adopt(self, held: HeldRun, host_id: str, now_s: float) -> int:
        load = self._loads_by_id.get(held.decode_engine)
        if load is None:
            return 0
        granted_s = now_s - held.age_ms / 1000
        load.runs_by_id[held.request_id] = Run(
            held.request_id,
            host_id,
            held.prompt_tokens,
            held.expected_tokens,
            granted_s,
            confirmed_s=now_s,
        )
        return 1

    def _decode_loads(self) -> list[EngineLoad]:
        return self._loads(EngineRole.DECODE)

    def _loads(self, role: EngineRole) -> list[EngineLoad]:
        entries = self._registry.usable(self.service, role)
        return [
            self._loads_by_id[entry.id]
            for entry in self._health.preferred(entries)
            if entry.id in self._loads_by_id
            and not self._loads_by_id[entry.id].changing
        ]

    def _try_grant(self, waiting: _Waiting, now_s: float) -> Granted | None:
        request = waiting.request
        late = waiting.is_late(now_s)
        if late and self.free_places() <= self._all_places() * self.terms.late_reserve:
            return None
        prefill = self._first_reader(waiting)
        if prefill and prefill.read_backlog_ms() > self.terms.read_ahead_s * 1000:
            return None
        decode = self._choose_decode(waiting, now_s, reads=prefill is None)
        if decode is None:
            return None
        if prefill is None:
            decode.begin_own_read(request.request_id, request.prompt_tokens, now_s)
        del self._waiting_by_id[request.request_id]
        decode.runs_by_id[request.request_id] = Run(
            request.request_id,
            waiting.host_id,
            request.prompt_tokens,
            request.expected_tokens,
            now_s,
            confirmed_s=now_s,
            late=late,
        )
        if prefill is not None:
            prefill.jobs_by_id[request.request_id] = PrefillJob(
                request.request_id, request.prompt_tokens, now_s
            )
        return Granted(
            request.request_id,
            decode.entry,
            prefill.entry if prefill is not None else None,
            now_s - waiting.arrived_s,
            self.free_places(),
        )

    def _first_reader(self, waiting: _Waiting) -> EngineLoad | None:
        """Return the prefill engine that can begin first, if there is one."""
        readers = [
            load
            for load in self._loads(EngineRole.PREFILL)
            if load.entry.id not in waiting.excluded
        ]
        return min(readers, key=EngineLoad.read_backlog_ms, default=None)

    def _choose_decode(
        self, waiting: _Waiting, now_s: float, *, reads: bool
    ) -> EngineLoad | None:
        """Return the fitting engine on which a further run goes fastest.

        ``reads`` leaves out engines that have just read a prompt themselves.
        """
        request = waiting.request
        loads = [
            load
            for load in self._decode_loads()
            if load.entry.id not in waiting.excluded and load.free_places() > 0
        ]
        loads.sort(
            key=lambda load: (
                now_s < load.stalled_until_s,
                load.token_ms * (1 + len(load.runs_by_id) / load.places),
            )
        )
        for load in loads:
            if reads and self._disturbs(load, request.prompt_tokens, now_s):
                continue
            # The memory plan is the costly part; mostly the first engine fits.
            if load.fits(request.prompt_tokens, request.expected_tokens, now_s):
                return load
        return None

    def _disturbs(self, load: EngineLoad, prompt_tokens: int, now_s: float) -> bool:
        """Tell whether reading a prompt would pause running streams."""
        if now_s < load.reads_again_s:
            return True
        if not load.runs_by_id:
            return False
        return load.own_read_s(prompt_tokens) > self.terms.own_read_s

    def _reason_to_refuse(self, waiting: _Waiting, now_s: float) -> str:
        """Return why a request that does not fit now should not wait."""
        if not any(
            load.entry.id not in waiting.excluded for load in self._decode_loads()
        ):
            return "no_engine"
        tokens = waiting.request.prompt_tokens
        if self._first_reader(waiting) is None and all(
            load.runs_by_id and load.own_read_s(tokens) > self.terms.own_read_s
            for load in self._decode_loads()
        ):
            return "no_reader_for_long_prompt"
        begins_s = now_s + self._expected_wait_s(waiting, now_s)
        if not waiting.is_late(now_s):
            return "" if begins_s <= waiting.on_time_until_s else "objective_missed"
        if now_s < self._saturated_until_s:
            return "saturated"
        late = sum(item.is_late(now_s) for item in self._waiting_by_id.values())
        if late > max(1, int(self._all_places() * self.terms.late_share)):
            return "too_many_late"
        return "" if begins_s <= waiting.leaves_s else "caller_leaves_first"

    def _all_places(self) -> int:
        return sum(load.places for load in self._decode_loads())

    def _expected_wait_s(self, waiting: _Waiting, now_s: float) -> float:
        """Return when a place is expected, after all that go before."""
        rank = self._rank(waiting, now_s)
        before = [
            item
            for item in self._waiting_by_id.values()
            if item is not waiting and self._rank(item, now_s) <= rank
        ]
        read_s = self._expected_read_wait_s(waiting, before, now_s)
        free = 0 if self._is_memory_full(now_s) else self.free_places()
        if len(before) < free:
            return read_s
        return max(read_s, self._nth_free_s(len(before) - free, now_s))

    def _is_memory_full(self, now_s: float) -> bool:
        """Tell whether places are free that no waiting request fits into."""
        waits_s = [now_s - item.arrived_s for item in self._waiting_by_id.values()]
        return max(waits_s, default=0.0) > self.terms.read_ahead_s + MEMORY_WAIT_S

    def _expected_read_wait_s(
        self, waiting: _Waiting, before: list[_Waiting], now_s: float
    ) -> float:
        """Return when the prompts that go before are read."""
        tokens = sum(item.request.prompt_tokens for item in before)
        reader = self._first_reader(waiting)
        if reader is not None:
            readers = len(self._loads(EngineRole.PREFILL))
            own_ms = reader.read_backlog_ms() - self.terms.read_ahead_s * 1000
            read_ms = tokens / reader.read_tokens_per_ms / max(1, readers)
            return max(0.0, own_ms + read_ms) / 1000
        loads = self._decode_loads()
        if not loads:
            return 0.0
        first = min(loads, key=lambda load: load.reads_again_s)
        own_s = max(0.0, first.reads_again_s - now_s)
        return own_s + first.own_read_s(tokens) / len(loads)

    def _nth_free_s(self, ahead: int, now_s: float) -> float:
        """Return the time until place number ``ahead`` + 1 becomes free."""
        ends = sorted(
            max(load.remaining_s(run, now_s), load.blocked_until_s - now_s)
            for load in self._decode_loads()
            for run in load.runs_by_id.values()
        )
        if not ends:
            return 0.0
        rounds, index = divmod(ahead, len(ends))
        mean_s = 2 * sum(ends) / len(ends)
        return ends[index] + rounds * mean_s

    def _role_change_wait_s(self, now_s: float) -> float:
        """Return when the first engine that changes its role is back."""
        ends = [load.changing_until_s for load in self._loads_by_id.values()]
        return min((end - now_s for end in ends if end > now_s), default=0.0)

    def _refuse(self, waiting: _Waiting, reason: str, now_s: float) -> Refused:
        del self._waiting_by_id[waiting.request.request_id]
        if waiting.arrived_s <= waiting.on_time_until_s:
            self._saturated_until_s = now_s + self.terms.saturated_s
        wait_s = self._nth_free_s(len(self._waiting_by_id), now_s)
        if reason == "no_engine":
            wait_s = max(wait_s, self._role_change_wait_s(now_s))
        retry_after_s = self._return_times.next_return_s(
            wait_s, self._all_places(), now_s
        )
        return Refused(
            waiting.request.request_id,
            reason,
            retry_after_s,
            len(self._waiting_by_id),
            self.free_places(),
        )
