"""Selection of a prefill and a decode engine for one request.

Both are selected in one decision. The decode engine must have memory and a
free slot in its batch before the prefill starts, because the prefill result
is evicted within a second. The prefill engine is the one with the earliest
expected finish, given its backlog, the tokens that it has not cached, its
observed speed and the wait for its transfer link. The cost is linear in the
number of engines of one shard, at most 32, and does not depend on the number
of engines in the cluster.
"""

import math
from collections.abc import Sequence
from dataclasses import dataclass
from enum import Enum

from .configuration import Engine
from .peer_messages import AdmissionRequest
from .prefix_index import PrefixIndex
from .rule_set import RuleSet
from .shard_ledger import EngineState, ShardLedger, pieces_for
from .stragglers import SpeedTracker, scaled_time_s

__all__ = [
    "EnginePair",
    "NoPair",
    "PairChooser",
    "RequestNeeds",
    "UnavailableReason",
    "WaitForEngine",
    "nominal_prefill_s",
]

# The next prefill may be granted this long before the current one is expected
# to end, to cover the message time from the owner to the engine.
GRANT_LEAD_S = 0.008

# Longest wait of a transfer for its link. The prefill result is evicted
# within a second.
MAX_LINK_WAIT_S = 0.5


# Part of the prefill time that does not depend on the prompt length: the
# messages between entry host and engine, and the start of the work.
PREFILL_OVERHEAD_S = 0.006


# Added to the score of an engine that cannot start in time.
TOO_LATE_PENALTY_S = 1000.0


def nominal_prefill_s(engine: Engine, uncached_tokens: float) -> float:
    """Return the duration of a prefill at the engine's configured rate."""
    return PREFILL_OVERHEAD_S + uncached_tokens / engine.prefill_tokens_per_s


class UnavailableReason(Enum):
    """Reason why no pair of engines can be granted."""

    NO_ENGINE = "no engine serves the model"
    TOO_LARGE = "the request is larger than any engine's memory"
    DECODE_FULL = "no decode engine has memory and a free slot in its batch"
    PREFILL_BUSY = "all prefill engines are busy"
    LINK_BUSY = "the transfer link is busy"


@dataclass(frozen=True)
class RequestNeeds:
    """A request with the properties of its class and model.

    A ``tbt_target_ms`` of 0 means that the class has no TBT target.
    """

    request: AdmissionRequest
    tbt_target_ms: float
    kv_bytes_per_token: float
    tokens_per_block: float

    @property
    def transfer_bytes(self) -> float:
        """Return the size of the KV cache that the prefill produces."""
        tokens = self.request.prompt_tokens + self.request.resume_tokens
        return tokens * self.kv_bytes_per_token

    def pieces(self, state: EngineState) -> int:
        """Return the memory the request needs on an engine, in pieces."""
        tokens = self.request.prompt_tokens + self.request.max_tokens
        return pieces_for(tokens, state.engine.piece_tokens)


@dataclass(frozen=True)
class EnginePair:
    """Engines for a request.

    ``first_token_s`` is the expected time from now to its first token.
    """

    prefill: EngineState
    decode: EngineState
    pieces: int
    nominal_prefill_s: float
    expected_blocks: int
    first_token_s: float


@dataclass(frozen=True)
class WaitForEngine:
    """The request waits for a busy prefill engine.

    That engine scores better than any idle one: it is expected to finish
    earlier or, for a request with slack, needs less prefill time.
    """

    prefill: EngineState
    prefill_s: float


@dataclass(frozen=True)
class NoPair:
    """No pair can be granted now."""

    reason: UnavailableReason


@dataclass(frozen=True)
class _PrefillCandidate:
    state: EngineState
    start_s: float
    finish_s: float
    nominal_s: float
    expected_blocks: int

    def score_s(self, slack_s: float) -> float:
        """Return a score that is lower for a better engine.

        A request with slack adds the time for which it occupies the engine,
        because other requests wait for that engine.
        """
        if slack_s <= 0:
            return self.finish_s
        if self.start_s > slack_s:
            return TOO_LATE_PENALTY_S + self.finish_s
        return self.finish_s + (self.finish_s - self.start_s)


@dataclass(frozen=True)
class _DecodeCandidate:
    first_token_s: float
    negative_free_pieces: int
    state: EngineState

    @property
    def key(self) -> tuple[float, int, str]:
        return (self.first_token_s, self.negative_free_pieces, self.state.engine.id)


class PairChooser:
    """Selects engine pairs from the current state of one shard."""

    def __init__(
        self,
        ledger: ShardLedger,
        speeds: SpeedTracker,
        prefixes: PrefixIndex,
        rules: RuleSet,
    ) -> None:
        self._ledger = ledger
        self._speeds = speeds
        self._prefixes = prefixes
        self._rules = rules

    def choose(
        self,
        needs: RequestNeeds,
        reserved_prefill_s_by_id: dict[str, float],
        now_s: float,
        slack_s: float = 0.0,
    ) -> EnginePair | WaitForEngine | NoPair:
        """Return a pair, a busy engine to wait for, or why there is no pair.

        ``reserved_prefill_s_by_id`` is the prefill time, by engine id, that
        requests ahead in the queue will use on engines that are still busy.
        ``slack_s`` is the time after which the request must start to be on
        time; until then it may wait for an engine that has more of its prompt
        cached.
        """
        reason = self.permanent_reason(needs)
        if reason is not None:
            return NoPair(reason)
        decode_states = self._fitting_decode(needs, now_s)
        if not decode_states:
            return NoPair(UnavailableReason.DECODE_FULL)
        prefill = self._choose_prefill(needs, reserved_prefill_s_by_id, now_s, slack_s)
        if prefill is None:
            return NoPair(UnavailableReason.PREFILL_BUSY)
        decode = self._choose_decode(needs, prefill, decode_states, now_s)
        if decode is None:
            return NoPair(UnavailableReason.LINK_BUSY)
        if prefill.start_s > GRANT_LEAD_S:
            return WaitForEngine(prefill.state, prefill.finish_s - prefill.start_s)
        return EnginePair(
            prefill.state,
            decode.state,
            needs.pieces(decode.state),
            prefill.nominal_s,
            prefill.expected_blocks,
            decode.first_token_s,
        )

    def next_ready_s(self, now_s: float) -> float:
        """Return the time until a busy prefill engine can be granted again."""
        return min(
            (
                self._start_s(state, now_s) - GRANT_LEAD_S
                for state in self._ledger.states_by_id.values()
                if len(state.jobs_by_request_id) == 1
            ),
            default=math.inf,
        )

    def has_ready_prefill(self, model: str, now_s: float) -> bool:
        """Return whether a prefill engine of a model can start now."""
        return any(
            self._is_ready(state, now_s)
            for state in self._ledger.prefill_engines(model)
        )

    def permanent_reason(self, needs: RequestNeeds) -> UnavailableReason | None:
        """Return a reason that waiting does not remove, or None."""
        model = needs.request.model
        decode = self._ledger.decode_engines(model)
        if not decode or not self._ledger.prefill_engines(model):
            return UnavailableReason.NO_ENGINE
        if all(needs.pieces(state) > state.engine.total_pieces for state in decode):
            return UnavailableReason.TOO_LARGE
        return None

    def estimated_ttft_s(self, needs: RequestNeeds, now_s: float) -> float:
        """Return the lowest expected time from a grant to the first token."""
        request = needs.request
        prefill_s = math.inf
        for state in self._ledger.prefill_engines(request.model):
            nominal_s, _ = self._nominal_prefill(needs, state)
            ratio = self._speeds.prefill_ratio(state.engine.id, now_s)
            transfer_s = state.link.transfer_s(needs.transfer_bytes)
            prefill_s = min(prefill_s, scaled_time_s(nominal_s, ratio) + transfer_s)
        # The first token is produced by the step after the current one.
        step_s = min(
            (
                2 * state.reservations.step_ms(state.engine.max_requests) / 1000
                for state in self._ledger.decode_engines(request.model)
            ),
            default=0.0,
        )
        return prefill_s + step_s

    def cost_s(self, needs: RequestNeeds, now_s: float) -> float:
        """Return the time for which a request occupies the whole shard.

        It is the larger of two values: its prefill time divided by the number
        of prefill engines, and its decode time multiplied by its share of the
        decode memory.
        """
        request = needs.request
        prefill = self._ledger.prefill_engines(request.model)
        decode = self._ledger.decode_engines(request.model)
        prefill_s = min(
            (self._nominal_prefill(needs, state)[0] for state in prefill), default=0.0
        )
        share = sum(state.engine.total_pieces / needs.pieces(state) for state in decode)
        step_s = max(
            (
                state.reservations.step_ms(state.engine.max_requests) / 1000
                for state in decode
            ),
            default=0.0,
        )
        decode_s = request.max_tokens * step_s / max(1.0, share)
        return max(prefill_s / max(1, len(prefill)), decode_s)

    def backlog_s(self, state: EngineState, now_s: float) -> float:
        """Return the expected remaining time of the prefills in progress.

        The first one runs; the time that another has waited for it says
        nothing about its own duration.
        """
        return sum(
            self._speeds.remaining_s(
                state.engine.id,
                job.nominal_s,
                now_s - job.started_s if index == 0 else 0.0,
                now_s,
            )
            for index, job in enumerate(state.jobs_by_request_id.values())
        )

    def _choose_prefill(
        self,
        needs: RequestNeeds,
        reserved_prefill_s_by_id: dict[str, float],
        now_s: float,
        slack_s: float,
    ) -> _PrefillCandidate | None:
        states = self._permitted_engines(
            needs, self._ledger.prefill_engines(needs.request.model), now_s
        )
        if not any(self._is_ready(state, now_s) for state in states):
            return None
        best = None
        for state in states:
            if not self._rules.hold_for_faster and not self._is_ready(state, now_s):
                continue
            candidate = self._prefill_candidate(
                needs, state, reserved_prefill_s_by_id, now_s
            )
            if best is None or candidate.score_s(slack_s) < best.score_s(slack_s):
                best = candidate
        return best

    def _prefill_candidate(
        self,
        needs: RequestNeeds,
        state: EngineState,
        reserved_prefill_s_by_id: dict[str, float],
        now_s: float,
    ) -> _PrefillCandidate:
        engine_id = state.engine.id
        nominal_s, blocks = self._nominal_prefill(needs, state)
        ratio = self._speeds.prefill_ratio(engine_id, now_s)
        start_s = reserved_prefill_s_by_id.get(engine_id, 0.0) + self._start_s(
            state, now_s
        )
        finish_s = start_s + scaled_time_s(nominal_s, ratio)
        return _PrefillCandidate(state, start_s, finish_s, nominal_s, blocks)

    def _start_s(self, state: EngineState, now_s: float) -> float:
        """Return the time until an engine can start another prefill."""
        if not state.jobs_by_request_id:
            return 0.0
        backlog_s = self.backlog_s(state, now_s)
        # With more than one job, the next prefill has already been granted.
        if len(state.jobs_by_request_id) > 1:
            return max(backlog_s, 2 * GRANT_LEAD_S)
        return backlog_s

    def _is_ready(self, state: EngineState, now_s: float) -> bool:
        return self._start_s(state, now_s) <= GRANT_LEAD_S

    def _nominal_prefill(
        self, needs: RequestNeeds, state: EngineState
    ) -> tuple[float, int]:
        request = needs.request
        tokens = request.prompt_tokens + request.resume_tokens
        blocks = 0
        if self._rules.prefix_cache and request.prefix_blocks:
            blocks = self._prefixes.matched_blocks(
                state.engine.id, request.prefix_blocks
            )
        uncached = max(0.0, tokens - blocks * needs.tokens_per_block)
        return nominal_prefill_s(state.engine, uncached), blocks

    def _fitting_decode(self, needs: RequestNeeds, now_s: float) -> list[EngineState]:
        """Return the permitted decode engines that can take the request."""
        states = self._permitted_engines(
            needs, self._ledger.decode_engines(needs.request.model), now_s
        )
        request = needs.request
        # Most engines are full at a load peak; this check rules them out
        # cheaply.
        tokens = request.prompt_tokens + request.max_tokens
        with_memory = [
            state
            for state in states
            if state.reservations.free_pieces * state.engine.piece_tokens >= tokens
        ]
        # If all engines look slow, this host itself may have been paused;
        # waiting for a fast engine would not help then.
        lowest_ratio = min(
            (self._speeds.step_ratio(state.engine.id, now_s) for state in states),
            default=1.0,
        )
        return [
            state
            for state in with_memory
            if self._fits(needs, state, lowest_ratio, now_s)
        ]

    def _choose_decode(
        self,
        needs: RequestNeeds,
        prefill: _PrefillCandidate,
        states: Sequence[EngineState],
        now_s: float,
    ) -> _DecodeCandidate | None:
        """Return the engine with the earliest expected first token.

        Ties go to the engine with the most free memory. Returns None if every
        transfer would wait too long for a link.
        """
        ready_at_s = now_s + prefill.finish_s
        size = needs.transfer_bytes
        source_wait_s = prefill.state.link.wait_s(ready_at_s)
        source_transfer_s = prefill.state.link.transfer_s(size)
        best: _DecodeCandidate | None = None
        for state in states:
            wait_s = max(source_wait_s, state.link.wait_s(ready_at_s))
            if self._rules.link_limit and wait_s > MAX_LINK_WAIT_S:
                continue
            transfer_s = max(source_transfer_s, state.link.transfer_s(size))
            step_s = self._step_s(state, now_s)
            first_token_s = prefill.finish_s + wait_s + transfer_s + step_s
            candidate = _DecodeCandidate(
                first_token_s, -state.reservations.free_pieces, state
            )
            if best is None or candidate.key < best.key:
                best = candidate
        return best

    def _step_s(self, state: EngineState, now_s: float) -> float:
        step_ms = state.reservations.step_ms(state.reservations.request_count + 1)
        return step_ms / 1000 * self._speeds.step_ratio(state.engine.id, now_s)

    def _fits(
        self, needs: RequestNeeds, state: EngineState, lowest_ratio: float, now_s: float
    ) -> bool:
        pieces = needs.pieces(state)
        if not self._rules.tbt_limit:
            return state.reservations.fits(pieces)
        ratio = self._speeds.step_ratio(state.engine.id, now_s)
        slowdown = max(1.0, ratio / max(1.0, lowest_ratio))
        return state.reservations.fits(pieces, needs.tbt_target_ms, slowdown)

    def _permitted_engines(
        self, needs: RequestNeeds, states: Sequence[EngineState], now_s: float
    ) -> Sequence[EngineState]:
        """Return the engines that are neither excluded nor blocked.

        If a request excludes all engines of a role, the exclusion is ignored:
        another attempt on the same engine is better than none.
        """
        excluded = needs.request.excluded_engines
        if excluded:
            states = [s for s in states if s.engine.id not in excluded] or states
        if not self._speeds.has_failures:
            return states
        return [s for s in states if not self._speeds.is_blocked(s.engine.id, now_s)]
