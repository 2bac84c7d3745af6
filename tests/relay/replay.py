"""Replays a load against the queue for model engines, without the bench.

The engine model has the figures of the standard sites: readers take prompts
one after the other at 50 tokens a millisecond, a run makes a token in 0.6 ms
and its first event 60 ms after its prompt is read. Everything follows from
the seed.
"""

import heapq
import itertools
import random
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field

from kumquat_core.peer_messages import RunRequest
from kumquat_relay.queue_types import Decision, Granted, QueueTerms, Refused

from .builders import QueueWorld, run_request

READ_TOKENS_PER_S = 50_000.0
TOKEN_S = 0.0006
FIRST_EVENT_S = 0.06
OBJECTIVE_S = 0.9
PATIENCE_S = 3.6


@dataclass
class Outcome:
    """What callers got; ``held_s`` is how long each refused one waited."""

    on_time: int = 0
    late: int = 0
    refused: int = 0
    held_s: list[float] = field(default_factory=list)
    place_idle_s: float = 0.0


def burst(seed: int, base: float, peak: float) -> Iterator[float]:
    """Yield arrival times over 16 s, with a peak from second 4 to 9."""
    rng = random.Random(seed)
    now_s = 0.0
    while now_s < 16.0:
        rate = peak if 4.0 <= now_s < 9.0 else base
        now_s += rng.expovariate(rate)
        yield now_s


class Replay:
    """One play of a load with the given terms of the queue."""

    def __init__(self, terms: QueueTerms, seed: int = 7) -> None:
        self._world = QueueWorld(decoders=2, readers=1, terms=terms)
        self._rng = random.Random(seed)
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._order = itertools.count()
        self._arrived_by_id: dict[str, tuple[float, RunRequest]] = {}
        self._reader_free_s = 0.0
        self.outcome = Outcome()

    def run(self, arrivals: Iterator[float]) -> Outcome:
        start_s = self._world.now_s
        for number, arrival_s in enumerate(arrivals):
            request = run_request(
                f"r{number}",
                prompt=int(min(11_000, 5000 * self._rng.lognormvariate(-0.1, 0.5))),
                output=int(min(11_570, 6200 * self._rng.lognormvariate(-0.1, 0.5))),
            )
            self._at(start_s + arrival_s, lambda item=request: self._arrive(item))
        while self._events:
            at_s, _, action = heapq.heappop(self._events)
            self._world.clock.advance(max(0.0, at_s - self._world.now_s))
            action()
            self._plan_advance()
        return self.outcome

    def _at(self, at_s: float, action: Callable[[], None]) -> None:
        heapq.heappush(self._events, (at_s, next(self._order), action))

    def _plan_advance(self) -> None:
        due_s = self._world.queue.next_due_s(self._world.now_s)
        if due_s is not None:
            at_s = max(due_s, self._world.now_s + 0.005)
            if not self._events or at_s < self._events[0][0]:
                self._at(at_s, self._advance)

    def _advance(self) -> None:
        self._carry_out(self._world.queue.advance(self._world.now_s))

    def _arrive(self, request: RunRequest) -> None:
        self._arrived_by_id[request.request_id] = (self._world.now_s, request)
        self._carry_out(self._world.add(request))

    def _carry_out(self, decisions: list[Decision]) -> None:
        for decision in decisions:
            arrived_s, request = self._arrived_by_id[decision.request_id]
            match decision:
                case Refused():
                    self.outcome.refused += 1
                    self.outcome.held_s.append(self._world.now_s - arrived_s)
                case Granted():
                    self._grant(arrived_s, request)

    def _grant(self, arrived_s: float, request: RunRequest) -> None:
        now_s = self._world.now_s
        begins_s = max(now_s, self._reader_free_s)
        read_s = begins_s + request.prompt_tokens / READ_TOKENS_PER_S
        self._reader_free_s = read_s
        self.outcome.place_idle_s += read_s - now_s
        request_id = request.request_id
        first_s = read_s + FIRST_EVENT_S
        if first_s - arrived_s <= OBJECTIVE_S:
            self.outcome.on_time += 1
        elif first_s - arrived_s <= PATIENCE_S:
            self.outcome.late += 1
        self._at(read_s, lambda: self._carry_out(self._world.read(request_id)))
        end_s = read_s + request.expected_tokens * TOKEN_S
        self._at(end_s, lambda: self._carry_out(self._world.end(request_id)))
