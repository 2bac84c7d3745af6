"""One pass over the waiting requests of a shard.

Requests are examined in the order of the queue. A small request may go
ahead of a large one that does not fit, a bounded number of times; then the
memory that becomes free is kept for the large one. The number of requests
examined without a grant is bounded, so a pass costs the same however many
requests wait.
"""

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from .admission_queue import WaitingRequest
from .engine_accounts import ShardAccounts
from .pairing import Hold, NoPlace, Obstacle, Pair, PairChooser

__all__ = ["GrantPass"]

# Requests of one model that are examined without a grant in one pass.
MAX_EXAMINED = 8

# How often a request may be overtaken by smaller ones.
MAX_BYPASSED = 16

Reserve = Callable[[WaitingRequest, Pair], None]


@dataclass
class _ModelState:
    """What the pass has found for one model.

    ``full_for`` are the smallest tokens that found no memory, by TBT
    target; within a pass memory only becomes less.
    """

    not_granted: list[WaitingRequest] = field(default_factory=list)
    full_for: dict[float, int] = field(default_factory=dict)


class GrantPass:
    """Examines waiting requests; ``reserve`` is called for each grant.

    With ``others_wait``, a request with time to spare may wait for an engine
    that has more of its prompt cached.
    """

    def __init__(
        self,
        chooser: PairChooser,
        accounts: ShardAccounts,
        reserve: Reserve,
        now_s: float,
        *,
        others_wait: bool = False,
    ) -> None:
        self._chooser = chooser
        self._accounts = accounts
        self._reserve = reserve
        self._now_s = now_s
        self._others_wait = others_wait
        self._claims_s_by_engine_id: dict[str, float] = {}
        self._states_by_model: dict[str, _ModelState] = {}
        self.stopped_models: set[str] = set()
        self.granted: list[tuple[WaitingRequest, Pair]] = []
        self.impossible: list[WaitingRequest] = []

    def run(self, candidates: Iterable[WaitingRequest]) -> None:
        """Fill ``granted`` and ``impossible`` from the candidates.

        The iterator is expected to leave out ``stopped_models``.
        """
        for item in candidates:
            if item.model in self.stopped_models:
                continue
            if self._chooser.has_ready_prefill(item.model, self._now_s):
                self._examine(item)
            else:
                self.stopped_models.add(item.model)

    def _examine(self, item: WaitingRequest) -> None:
        state = self._states_by_model.setdefault(item.model, _ModelState())
        if item.late and any(not other.late for other in state.not_granted):
            self.stopped_models.add(item.model)
            return
        match self._choose(item, state):
            case Pair() as pair:
                self._reserve(item, pair)
                self.granted.append((item, pair))
                for other in state.not_granted:
                    other.bypassed += 1
                return
            case Hold(prefill, prefill_s):
                claims = self._claims_s_by_engine_id
                engine_id = prefill.engine.id
                claims[engine_id] = claims.get(engine_id, 0.0) + prefill_s
            case NoPlace(Obstacle.NO_ENGINE | Obstacle.TOO_LARGE):
                self.impossible.append(item)
                return
            case NoPlace(Obstacle.DECODE_FULL):
                if self._keeps_memory(item):
                    self.stopped_models.add(item.model)
            case NoPlace():
                if not item.needs.request.excluded_engines:
                    self.stopped_models.add(item.model)
        state.not_granted.append(item)
        if len(state.not_granted) >= MAX_EXAMINED:
            self.stopped_models.add(item.model)

    def _choose(
        self, item: WaitingRequest, state: _ModelState
    ) -> Pair | Hold | NoPlace:
        request = item.needs.request
        tokens = request.prompt_tokens + request.max_tokens
        tbt_ms = item.needs.tbt_target_ms
        if tokens >= state.full_for.get(tbt_ms, tokens + 1):
            return NoPlace(Obstacle.DECODE_FULL)
        spare_s = 0.0
        if self._others_wait and not item.late:
            spare_s = item.latest_start_s - self._now_s
        choice = self._chooser.choose(
            item.needs, self._claims_s_by_engine_id, self._now_s, spare_s
        )
        if choice == NoPlace(Obstacle.DECODE_FULL) and not request.excluded_engines:
            state.full_for[tbt_ms] = tokens
        return choice

    def _keeps_memory(self, item: WaitingRequest) -> bool:
        """Tell whether no other request may take the memory that is left."""
        if item.needs.request.excluded_engines:
            return False
        if item.late or item.bypassed >= MAX_BYPASSED:
            return True
        return not any(
            state.account.fits(1) for state in self._accounts.decode_engines(item.model)
        )
