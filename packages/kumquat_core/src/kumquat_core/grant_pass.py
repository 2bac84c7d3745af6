"""One scheduling pass over the queued requests of a shard.

Requests are examined in queue order. A small request may bypass a large one
that does not fit, a bounded number of times; after that, memory that becomes
free is reserved for the large one. The number of requests that are examined
without a grant is bounded, so the cost of a pass does not depend on the queue
length.
"""

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from .admission_queue import QueuedRequest
from .pairing import EnginePair, NoPair, PairChooser, UnavailableReason, WaitForEngine
from .shard_ledger import ShardLedger

__all__ = ["GrantPass"]

# Requests of one model that one pass examines without granting them.
MAX_EXAMINED = 8

# Number of requests that may be granted ahead of one that does not fit.
MAX_BYPASSES = 16

ReserveCallback = Callable[[QueuedRequest, EnginePair], None]


@dataclass
class _ModelState:
    """Results of the pass so far for one model.

    ``min_rejected_tokens_by_tbt_ms`` holds, for each TBT target, the smallest
    request in tokens that found no decode engine. Free memory only shrinks
    during a pass, so a request of that size or larger need not be tried.
    """

    not_granted: list[QueuedRequest] = field(default_factory=list)
    min_rejected_tokens_by_tbt_ms: dict[float, int] = field(default_factory=dict)


class GrantPass:
    """Examines queued requests and calls ``reserve`` for each grant.

    With ``allow_cache_wait``, a request with slack may wait for an engine
    that has more of its prompt cached.
    """

    def __init__(
        self,
        chooser: PairChooser,
        ledger: ShardLedger,
        reserve: ReserveCallback,
        now_s: float,
        *,
        allow_cache_wait: bool = False,
    ) -> None:
        self._chooser = chooser
        self._ledger = ledger
        self._reserve = reserve
        self._now_s = now_s
        self._allow_cache_wait = allow_cache_wait
        self._reserved_prefill_s_by_engine_id: dict[str, float] = {}
        self._states_by_model: dict[str, _ModelState] = {}
        self.stopped_models: set[str] = set()
        self.granted: list[tuple[QueuedRequest, EnginePair]] = []
        self.unservable: list[QueuedRequest] = []

    def run(self, candidates: Iterable[QueuedRequest]) -> None:
        """Fill ``granted`` and ``unservable`` from the candidates.

        Adds a model to ``stopped_models`` when no more of its requests are to
        be examined; the iterator is expected to leave those models out.
        """
        for item in candidates:
            if item.model in self.stopped_models:
                continue
            if self._chooser.has_ready_prefill(item.model, self._now_s):
                self._examine(item)
            else:
                self.stopped_models.add(item.model)

    def _examine(self, item: QueuedRequest) -> None:
        """Grant a request, or decide whether its model is stopped."""
        state = self._states_by_model.setdefault(item.model, _ModelState())
        if item.late and any(not other.late for other in state.not_granted):
            self.stopped_models.add(item.model)
            return
        match self._choose(item, state):
            case EnginePair() as pair:
                self._reserve(item, pair)
                self.granted.append((item, pair))
                for other in state.not_granted:
                    other.bypass_count += 1
                return
            case WaitForEngine(prefill, prefill_s):
                reserved_s = self._reserved_prefill_s_by_engine_id
                engine_id = prefill.engine.id
                reserved_s[engine_id] = reserved_s.get(engine_id, 0.0) + prefill_s
            case NoPair(UnavailableReason.NO_ENGINE | UnavailableReason.TOO_LARGE):
                self.unservable.append(item)
                return
            case NoPair(UnavailableReason.DECODE_FULL):
                if self._reserves_free_memory(item):
                    self.stopped_models.add(item.model)
            case NoPair():
                if not item.needs.request.excluded_engines:
                    self.stopped_models.add(item.model)
        state.not_granted.append(item)
        if len(state.not_granted) >= MAX_EXAMINED:
            self.stopped_models.add(item.model)

    def _choose(
        self, item: QueuedRequest, state: _ModelState
    ) -> EnginePair | WaitForEngine | NoPair:
        request = item.needs.request
        tokens = request.prompt_tokens + request.max_tokens
        tbt_ms = item.needs.tbt_target_ms
        if tokens >= state.min_rejected_tokens_by_tbt_ms.get(tbt_ms, tokens + 1):
            return NoPair(UnavailableReason.DECODE_FULL)
        slack_s = 0.0
        if self._allow_cache_wait and not item.late:
            slack_s = item.latest_start_s - self._now_s
        choice = self._chooser.choose(
            item.needs, self._reserved_prefill_s_by_engine_id, self._now_s, slack_s
        )
        if (
            choice == NoPair(UnavailableReason.DECODE_FULL)
            and not request.excluded_engines
        ):
            state.min_rejected_tokens_by_tbt_ms[tbt_ms] = tokens
        return choice

    def _reserves_free_memory(self, item: QueuedRequest) -> bool:
        """Return whether the remaining memory is reserved for ``item``.

        Also true if no decode engine has memory for any request.
        """
        if item.needs.request.excluded_engines:
            return False
        if item.late or item.bypass_count >= MAX_BYPASSES:
            return True
        return not any(
            state.reservations.fits(1)
            for state in self._ledger.decode_engines(item.model)
        )
