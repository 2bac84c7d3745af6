"""One queue for all places of a service with model engines.

Load pattern: at a peak two to four times as many streams arrive as there are
places, for some seconds, and then the load falls below the capacity again.
An answer that begins after its objective is worth a fraction, and a caller
leaves when no event arrives for too long.

Requests that can still meet their objective go first, by priority and then
by the time they have left; requests that are late anyway use what remains. A
request that cannot begin in time is refused on arrival and told to return when
the peak is over. Nothing is refused while a place is free. A request whose
time runs out in the queue is refused at that moment. Before that, a decode
engine reads the prompt if the prefill engines cannot in time and no running
stream pauses too long for it.

The queue holds no clock of its own and does no I/O: every call returns the
``Decision`` objects that follow from it.
"""

from collections.abc import Sequence
from dataclasses import replace

from kumquat_core.peer_messages import HeldRun, RunRequest

from .engine_health import EngineHealth
from .engine_load import EngineLoad
from .engine_registry import EngineRegistry
from .placement import Placement
from .priority_reserve import NO_ROOM, RECHECK_S, PriorityReserve
from .queue_types import Decision, Granted, QueueTerms, Refused, Waiting
from .return_times import ReturnTimes
from .run_ledger import RunLedger
from .stage_plan import Demand

__all__ = ["StreamQueue"]


# A request that waits longer than a prompt is read, with places free, waits
# for memory.
MEMORY_WAIT_S = 0.15
# Other reasons say nothing about the places left for late requests.
PLACES_ARE_SHORT = ("objective_missed", "waited_too_long")


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
        self._return_times = return_times
        self.terms = terms or QueueTerms()
        self.ledger = RunLedger(service, registry, health, self.terms)
        self._waiting_by_id: dict[str, Waiting] = {}
        self._paused_until_s = float("-inf")
        self._bars_by_host_id: dict[str, dict[str, float]] = {}
        self._saturated_until_s = float("-inf")
        self._reserve = PriorityReserve(enabled=self.terms.rules.priority_reserve)
        self.demand = Demand()

    @property
    def waiting_count(self) -> int:
        """Return the number of waiting requests."""
        return len(self._waiting_by_id)

    def pause(self, until_s: float) -> None:
        """Grant and refuse nothing until the running work is reported."""
        self._paused_until_s = until_s

    def bar(self, host_id: str, engine_id: str, until_s: float, now_s: float) -> None:
        """Grant nothing at an engine to a host that it asked to stay away."""
        for known_id, bars in list(self._bars_by_host_id.items()):
            if all(end_s <= now_s for end_s in bars.values()):
                del self._bars_by_host_id[known_id]
        bars = self._bars_by_host_id.setdefault(host_id, {})
        bars[engine_id] = max(until_s, bars.get(engine_id, until_s))

    def add(self, request: RunRequest, host_id: str, now_s: float) -> list[Decision]:
        """Place a request, let it wait, or refuse it."""
        estimate = self.ledger.estimate
        stated_tokens = request.expected_tokens
        estimate.observe_request(stated_tokens)
        request = replace(request, expected_tokens=estimate.tokens(stated_tokens))
        self.demand.add(
            request.prompt_tokens,
            request.expected_tokens,
            now_s,
            request.max_gap_ms / 1000,
        )
        self._reserve.observe(
            request.priority, request.prompt_tokens, request.expected_tokens
        )
        waiting = self._waiting(request, host_id, now_s, stated_tokens)
        self._waiting_by_id[request.request_id] = waiting
        decisions = self.advance(now_s)
        if now_s < self._paused_until_s:
            return decisions
        if request.request_id in self._waiting_by_id:
            reason = self._reason_to_refuse(waiting, now_s)
            relief = None
            if reason == "objective_missed":
                relief = self._relieve(waiting, self._placement(now_s), now_s)
            if relief is not None:
                decisions.append(relief)
            elif reason:
                decisions.append(self._refuse(waiting, reason, now_s))
        return decisions

    def _waiting(
        self, request: RunRequest, host_id: str, now_s: float, stated_tokens: int
    ) -> Waiting:
        read_s = self.ledger.read_s(request.prompt_tokens)
        start_s = max(self.terms.start_s, self.terms.first_event_s + read_s)
        return Waiting(
            request,
            host_id,
            now_s,
            on_time_until_s=now_s + request.objective_ms / 1000 - start_s,
            leaves_s=now_s + request.patience_ms / 1000 - start_s,
            excluded=set(request.excluded),
            barred=set(request.barred),
            stated_tokens=stated_tokens,
        )

    def _placement(self, now_s: float) -> Placement:
        return Placement(self.ledger, self.terms, self._bars_by_host_id, now_s)

    def advance(self, now_s: float) -> list[Decision]:
        """Grant what fits and refuse what ran out of time."""
        decisions: list[Decision] = []
        if now_s < self._paused_until_s or not self._waiting_by_id:
            return decisions
        placement = self._placement(now_s)
        for waiting in sorted(
            self._waiting_by_id.values(), key=lambda item: self._rank(item, now_s)
        ):
            if now_s >= waiting.give_up_s:
                decisions.append(self._refuse(waiting, "waited_too_long", now_s))
                continue
            granted = self._try_grant(waiting, placement, now_s)
            if granted is not None:
                decisions.append(granted)
        return decisions

    def confirm(self, host_id: str, runs: Sequence[HeldRun], now_s: float) -> int:
        """Take over a host's report; return how many runs changed.

        Runs that a new owner adopts show it the mix of the traffic.
        """
        unknown = [run for run in runs if not self.ledger.engine_of(run.request_id)]
        changed = self.ledger.confirm(host_id, runs, now_s)
        for run in unknown:
            if self.ledger.engine_of(run.request_id):
                self.demand.add(run.prompt_tokens, run.expected_tokens, now_s)
        return changed

    def next_due_s(self, now_s: float) -> float | None:
        """Return when ``advance`` is needed without any other event."""
        if not self._waiting_by_id:
            return None
        times = [waiting.give_up_s for waiting in self._waiting_by_id.values()]
        for load in self.ledger.decode_loads():
            times += [load.blocked_until_s, load.reads_again_s]
        times.append(self._paused_until_s)
        if self._reserve.keeps_room(now_s):
            times.append(now_s + RECHECK_S)
        return min((time for time in times if time > now_s), default=now_s)

    def ended(
        self, request_id: str, gap_ms: float, now_s: float, made_tokens: int = 0
    ) -> None:
        """Free what a request holds or withdraw it from the queue."""
        self._waiting_by_id.pop(request_id, None)
        self.ledger.ended(request_id, gap_ms, now_s, made_tokens)

    def _rank(self, item: Waiting, now_s: float) -> tuple[bool, int, float]:
        return (item.is_late(now_s), item.request.priority, item.on_time_until_s)

    def _try_grant(
        self, waiting: Waiting, placement: Placement, now_s: float
    ) -> Granted | None:
        rules = self.terms.rules
        late_reserve = self.terms.late_reserve if rules.late_reserve else 0.0
        reserve = placement.all_places * late_reserve
        if waiting.is_late(now_s) and placement.free_places() <= reserve:
            return None
        if not self._leaves_room(waiting, placement, now_s):
            return None
        reader = placement.first_reader(waiting)
        read_ahead_s = placement.read_ahead_s(reader) if rules.read_ahead else 0.0
        if read_ahead_s > self.terms.read_ahead_s:
            if waiting.is_late(now_s + self.terms.relief_s):
                return self._relieve(waiting, placement, now_s)
            return None
        if waiting.is_late(now_s + read_ahead_s) and not waiting.is_late(now_s):
            return self._relieve(waiting, placement, now_s)
        decode = placement.decoder(waiting, reads=reader is None)
        if decode is None:
            return None
        return self._grant(waiting, placement, decode, reader, now_s)

    def _leaves_room(
        self, waiting: Waiting, placement: Placement, now_s: float
    ) -> bool:
        """Tell whether room is left for requests that are more urgent."""
        kept = self._reserve.kept_from(
            waiting.request.priority, now_s, late=waiting.is_late(now_s)
        )
        return kept is NO_ROOM or placement.has_room_for(kept)

    def _relieve(
        self, waiting: Waiting, placement: Placement, now_s: float
    ) -> Granted | None:
        """Let a decode engine read a prompt that no reader reads in time."""
        if not self.terms.rules.relief:
            return None
        spare = placement.all_places * self.terms.relief_reserve
        if waiting.is_late(now_s) or placement.free_places() <= spare:
            return None
        decode = placement.decoder(waiting, reads=True)
        if decode is None:
            return None
        prompt_tokens = waiting.request.prompt_tokens
        longer_s = decode.own_read_s(prompt_tokens) - self.ledger.read_s(prompt_tokens)
        if waiting.is_late(now_s + longer_s):
            return None
        return self._grant(waiting, placement, decode, None, now_s)

    def _grant(
        self,
        waiting: Waiting,
        placement: Placement,
        decode: EngineLoad,
        reader: EngineLoad | None,
        now_s: float,
    ) -> Granted:
        request, ledger = waiting.request, self.ledger
        del self._waiting_by_id[request.request_id]
        ledger.grant(
            request, waiting.host_id, decode, reader, now_s, waiting.stated_tokens
        )
        placement.granted(reader)
        if not waiting.is_late(now_s):
            self._reserve.granted(request.priority)
        return Granted(
            request.request_id,
            decode.entry,
            reader.entry if reader is not None else None,
            now_s - waiting.arrived_s,
            placement.free_places(),
        )

    def _reason_to_refuse(self, waiting: Waiting, now_s: float) -> str:
        """Return why a request that does not fit now should not wait."""
        placement = self._placement(now_s)
        loads = placement.usable_decoders(waiting)
        if all(load.entry.id in waiting.excluded for load in loads):
            return "no_engine"
        if placement.first_reader(waiting) is None and all(
            placement.disturbs(load, waiting.request) for load in loads
        ):
            return "no_reader_for_long_prompt"
        if not self.terms.rules.early_refusal:
            return ""
        begins_s = now_s + self._expected_wait_s(waiting, placement, now_s)
        if not waiting.is_late(now_s):
            return "" if begins_s <= waiting.on_time_until_s else "objective_missed"
        if now_s < self._saturated_until_s:
            return "saturated"
        late = sum(item.is_late(now_s) for item in self._waiting_by_id.values())
        if late > max(1, int(placement.all_places * self.terms.late_share)):
            return "too_many_late"
        return "" if begins_s <= waiting.leaves_s else "caller_leaves_first"

    def _expected_wait_s(
        self, waiting: Waiting, placement: Placement, now_s: float
    ) -> float:
        """Return when a place is expected, after all that go before."""
        rank = self._rank(waiting, now_s)
        before = [
            item
            for item in self._waiting_by_id.values()
            if item is not waiting and self._rank(item, now_s) <= rank
        ]
        read_s = self._expected_read_wait_s(waiting, placement, before, now_s)
        free = 0 if self._is_memory_full(now_s) else placement.free_places()
        if len(before) < free:
            return read_s
        return max(read_s, self.ledger.nth_free_s(len(before) - free, now_s))

    def _is_memory_full(self, now_s: float) -> bool:
        """Tell whether places are free that no waiting request fits into."""
        waits_s = [now_s - item.arrived_s for item in self._waiting_by_id.values()]
        return max(waits_s, default=0.0) > self.terms.read_ahead_s + MEMORY_WAIT_S

    def _expected_read_wait_s(
        self,
        waiting: Waiting,
        placement: Placement,
        before: list[Waiting],
        now_s: float,
    ) -> float:
        """Return when the prompts that go before are read."""
        tokens = sum(item.request.prompt_tokens for item in before)
        reader = placement.first_reader(waiting)
        if reader is not None:
            readers = len(placement.readers)
            own_ms = reader.read_backlog_ms() - self.terms.read_ahead_s * 1000
            read_ms = tokens / reader.read_tokens_per_ms / max(1, readers)
            return max(0.0, own_ms + read_ms) / 1000
        loads = placement.decoders
        if not loads:
            return 0.0
        first = min(loads, key=lambda load: load.reads_again_s)
        own_s = max(0.0, first.reads_again_s - now_s)
        return own_s + first.own_read_s(tokens) / len(loads)

    def _refuse(self, waiting: Waiting, reason: str, now_s: float) -> Refused:
        del self._waiting_by_id[waiting.request.request_id]
        came_in_time = waiting.arrived_s <= waiting.on_time_until_s
        if came_in_time and reason in PLACES_ARE_SHORT:
            engines = len(self.ledger.decode_loads())
            self._reserve.refused(waiting.request.priority, engines, now_s)
            self._saturated_until_s = now_s + self.terms.saturated_s
        wait_s = self.ledger.nth_free_s(len(self._waiting_by_id), now_s)
        if reason == "no_engine":
            wait_s = max(wait_s, self.ledger.role_change_wait_s(now_s))
        left_s = waiting.arrived_s + waiting.request.left_ms / 1000 - now_s
        retry_after_s = self._return_times.next_return_s(
            wait_s,
            self.ledger.all_places(),
            self.ledger.pace.place_s.value,
            left_s,
            now_s,
        )
        return Refused(
            waiting.request.request_id,
            reason,
            retry_after_s,
            len(self._waiting_by_id),
            self.ledger.free_places(),
        )
