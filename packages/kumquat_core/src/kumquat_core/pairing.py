"""Choice of a prefill and a decode engine for one request.

Both are chosen in one decision. The decode engine must have memory and a
place in its batch before the prefill starts, since a prefill result is
evicted within a second. The prefill engine is the one with the earliest
expected finish: backlog, tokens that are not cached, observed speed and the
wait for its transfer link. The cost is linear in the engines of one shard,
at most 32, whatever the number of engines in the cluster.
"""

import math
from collections.abc import Sequence
from dataclasses import dataclass
from enum import Enum

from .configuration import Engine
from .engine_accounts import EngineState, ShardAccounts, pieces_for
from .peer_messages import AdmissionRequest
from .prefix_index import PrefixIndex
from .rule_set import RuleSet
from .stragglers import SpeedTracker, scaled_time_s

__all__ = [
    "Hold",
    "NoPlace",
    "Obstacle",
    "Pair",
    "PairChooser",
    "RequestNeeds",
    "nominal_prefill_s",
]

# A grant for the next prefill may go out this long before the present one
# is expected to end; it covers the message from owner to engine.
EARLY_GRANT_S = 0.008

# The result of a prefill is evicted within a second; its transfer must not
# wait longer than this for the link.
MAX_LINK_WAIT_S = 0.5


# Time of a prefill that does not depend on its length: the messages from
# entry host to engine and back, and the start of the work.
PREFILL_OVERHEAD_S = 0.006


# Added to the score of an engine that could only start too late.
TOO_LATE_S = 1000.0


def nominal_prefill_s(engine: Engine, uncached_tokens: float) -> float:
    """Return the time of a prefill at the engine's configured rate."""
    return PREFILL_OVERHEAD_S + uncached_tokens / engine.prefill_tokens_per_s


class Obstacle(Enum):
    """Why no pair can be granted now."""

    NO_ENGINE = "no engine serves the model"
    TOO_LARGE = "the request is larger than any engine's memory"
    DECODE_FULL = "no decode engine has memory and a place in its batch"
    PREFILL_BUSY = "all prefill engines are busy"
    LINK_BUSY = "the transfer link is busy"


@dataclass(frozen=True)
class RequestNeeds:
    """A request with the properties of its class and model.

    ``tbt_target_ms`` 0 means that the class has no such target.
    """

    request: AdmissionRequest
    tbt_target_ms: float
    kv_bytes_per_token: float
    tokens_per_block: float

    @property
    def transfer_bytes(self) -> float:
        """Return the size of the KV cache of the prompt."""
        tokens = self.request.prompt_tokens + self.request.resume_tokens
        return tokens * self.kv_bytes_per_token

    def pieces(self, state: EngineState) -> int:
        """Return the pieces the request needs on an engine."""
        tokens = self.request.prompt_tokens + self.request.max_tokens
        return pieces_for(tokens, state.engine.piece_tokens)


@dataclass(frozen=True)
class Pair:
    """Engines for a request and the expected times, from now."""

    prefill: EngineState
    decode: EngineState
    pieces: int
    nominal_prefill_s: float
    blocks_expected: int
    first_token_s: float


@dataclass(frozen=True)
class Hold:
    """A busy engine is expected to finish this request sooner than an idle
    one; the request waits for it.
    """

    prefill: EngineState
    prefill_s: float


@dataclass(frozen=True)
class NoPlace:
    """No pair can be granted now."""

    obstacle: Obstacle


@dataclass(frozen=True)
class _PrefillChoice:
    state: EngineState
    start_s: float
    finish_s: float
    nominal_s: float
    blocks_expected: int

    def score_s(self, spare_s: float) -> float:
        """Return a score that is lower for a better engine.

        With time to spare, the time taken of the engine counts as much as
        the finish, because other requests wait for it.
        """
        if spare_s <= 0:
            return self.finish_s
        if self.start_s > spare_s:
            return TOO_LATE_S + self.finish_s
        return self.finish_s + (self.finish_s - self.start_s)


@dataclass(frozen=True)
class _DecodeChoice:
    first_token_s: float
    negative_free_pieces: int
    state: EngineState

    @property
    def key(self) -> tuple[float, int, str]:
        return (self.first_token_s, self.negative_free_pieces, self.state.engine.id)


class PairChooser:
    """Chooses pairs from the accounts of one shard."""

    def __init__(
        self,
        accounts: ShardAccounts,
        speeds: SpeedTracker,
        prefixes: PrefixIndex,
        rules: RuleSet,
    ) -> None:
        self._accounts = accounts
        self._speeds = speeds
        self._prefixes = prefixes
        self._rules = rules

    def choose(
        self,
        needs: RequestNeeds,
        claims_s_by_id: dict[str, float],
        now_s: float,
        spare_s: float = 0.0,
    ) -> Pair | Hold | NoPlace:
        """Return a pair, or why there is none.

        ``claims_s_by_id`` holds prefill seconds that requests ahead in the
        queue are going to use on an engine that is still busy. The request
        can start ``spare_s`` from now and still be on time; for so long it
        may wait for an engine that has more of its prompt cached.
        """
        obstacle = self.lasting_obstacle(needs)
        if obstacle is not None:
            return NoPlace(obstacle)
        decode_states = self._fitting_decode(needs, now_s)
        if not decode_states:
            return NoPlace(Obstacle.DECODE_FULL)
        prefill = self._choose_prefill(needs, claims_s_by_id, now_s, spare_s)
        if prefill is None:
            return NoPlace(Obstacle.PREFILL_BUSY)
        decode = self._choose_decode(needs, prefill, decode_states, now_s)
        if decode is None:
            return NoPlace(Obstacle.LINK_BUSY)
        if prefill.start_s > EARLY_GRANT_S:
            return Hold(prefill.state, prefill.finish_s - prefill.start_s)
        return Pair(
            prefill.state,
            decode.state,
            needs.pieces(decode.state),
            prefill.nominal_s,
            prefill.blocks_expected,
            decode.first_token_s,
        )

    def next_ready_s(self, now_s: float) -> float:
        """Return when the next busy prefill engine can be granted again."""
        return min(
            (
                self._start_s(state, now_s) - EARLY_GRANT_S
                for state in self._accounts.states_by_id.values()
                if len(state.jobs_by_request_id) == 1
            ),
            default=math.inf,
        )

    def has_ready_prefill(self, model: str, now_s: float) -> bool:
        """Tell whether any prefill engine of a model can start now."""
        return any(
            self._is_ready(state, now_s)
            for state in self._accounts.prefill_engines(model)
        )

    def lasting_obstacle(self, needs: RequestNeeds) -> Obstacle | None:
        """Return an obstacle that waiting does not remove."""
        model = needs.request.model
        decode = self._accounts.decode_engines(model)
        if not decode or not self._accounts.prefill_engines(model):
            return Obstacle.NO_ENGINE
        if all(needs.pieces(state) > state.engine.total_pieces for state in decode):
            return Obstacle.TOO_LARGE
        return None

    def service_s(self, needs: RequestNeeds, now_s: float) -> float:
        """Return the shortest time from a grant to the first token."""
        request = needs.request
        prefill_s = math.inf
        for state in self._accounts.prefill_engines(request.model):
            nominal_s, _ = self._nominal_prefill(needs, state)
            ratio = self._speeds.prefill_ratio(state.engine.id, now_s)
            transfer_s = state.link.transfer_s(needs.transfer_bytes)
            prefill_s = min(prefill_s, scaled_time_s(nominal_s, ratio) + transfer_s)
        # The first token comes with the step after the one in progress.
        step_s = min(
            (
                2 * state.account.step_ms(state.engine.max_requests) / 1000
                for state in self._accounts.decode_engines(request.model)
            ),
            default=0.0,
        )
        return prefill_s + step_s

    def cost_s(self, needs: RequestNeeds, now_s: float) -> float:
        """Return the time a request takes of all engines together.

        It is the larger of its prefill time over the prefill engines and
        its share of decode memory for the time of its tokens.
        """
        request = needs.request
        prefill = self._accounts.prefill_engines(request.model)
        decode = self._accounts.decode_engines(request.model)
        prefill_s = min(
            (self._nominal_prefill(needs, state)[0] for state in prefill), default=0.0
        )
        share = sum(state.engine.total_pieces / needs.pieces(state) for state in decode)
        step_s = max(
            (
                state.account.step_ms(state.engine.max_requests) / 1000
                for state in decode
            ),
            default=0.0,
        )
        decode_s = request.max_tokens * step_s / max(1.0, share)
        return max(prefill_s / max(1, len(prefill)), decode_s)

    def backlog_s(self, state: EngineState, now_s: float) -> float:
        """Return the expected rest of the prefills in progress."""
        return sum(
            self._speeds.remaining_s(
                state.engine.id, job.nominal_s, now_s - job.started_s, now_s
            )
            for job in state.jobs_by_request_id.values()
        )

    def _choose_prefill(
        self,
        needs: RequestNeeds,
        claims_s_by_id: dict[str, float],
        now_s: float,
        spare_s: float,
    ) -> _PrefillChoice | None:
        states = self._permitted(
            needs, self._accounts.prefill_engines(needs.request.model), now_s
        )
        if not any(self._is_ready(state, now_s) for state in states):
            return None
        best = None
        for state in states:
            if not self._rules.hold_for_faster and not self._is_ready(state, now_s):
                continue
            choice = self._prefill_choice(needs, state, claims_s_by_id, now_s)
            if best is None or choice.score_s(spare_s) < best.score_s(spare_s):
                best = choice
        return best

    def _prefill_choice(
        self,
        needs: RequestNeeds,
        state: EngineState,
        claims_s_by_id: dict[str, float],
        now_s: float,
    ) -> _PrefillChoice:
        engine_id = state.engine.id
        nominal_s, blocks = self._nominal_prefill(needs, state)
        ratio = self._speeds.prefill_ratio(engine_id, now_s)
        start_s = claims_s_by_id.get(engine_id, 0.0) + self._start_s(state, now_s)
        finish_s = start_s + scaled_time_s(nominal_s, ratio)
        return _PrefillChoice(state, start_s, finish_s, nominal_s, blocks)

    def _start_s(self, state: EngineState, now_s: float) -> float:
        if not state.jobs_by_request_id:
            return 0.0
        backlog_s = self.backlog_s(state, now_s)
        # More than one job means that an early grant already went out.
        if len(state.jobs_by_request_id) > 1:
            return max(backlog_s, 2 * EARLY_GRANT_S)
        return backlog_s

    def _is_ready(self, state: EngineState, now_s: float) -> bool:
        return self._start_s(state, now_s) <= EARLY_GRANT_S

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
        states = self._permitted(
            needs, self._accounts.decode_engines(needs.request.model), now_s
        )
        request = needs.request
        # Most engines are full at a demand peak; memory alone rules them out
        # at little cost.
        tokens = request.prompt_tokens + request.max_tokens
        with_memory = [
            state
            for state in states
            if state.account.free_pieces * state.engine.piece_tokens >= tokens
        ]
        # When all look slow it may be this host that was paused; waiting for
        # a fast engine is of no use then.
        usual = min(
            (self._speeds.step_ratio(state.engine.id, now_s) for state in states),
            default=1.0,
        )
        return [
            state for state in with_memory if self._fits(needs, state, usual, now_s)
        ]

    def _choose_decode(
        self,
        needs: RequestNeeds,
        prefill: _PrefillChoice,
        states: Sequence[EngineState],
        now_s: float,
    ) -> _DecodeChoice | None:
        """Return the engine with the earliest first token, then most memory.

        Returns None when the links would make every result wait too long.
        """
        ready_at_s = now_s + prefill.finish_s
        size = needs.transfer_bytes
        source_wait_s = prefill.state.link.wait_s(ready_at_s)
        source_transfer_s = prefill.state.link.transfer_s(size)
        best: _DecodeChoice | None = None
        for state in states:
            wait_s = max(source_wait_s, state.link.wait_s(ready_at_s))
            if self._rules.link_limit and wait_s > MAX_LINK_WAIT_S:
                continue
            transfer_s = max(source_transfer_s, state.link.transfer_s(size))
            step_s = self._step_s(state, now_s)
            first_token_s = prefill.finish_s + wait_s + transfer_s + step_s
            choice = _DecodeChoice(first_token_s, -state.account.free_pieces, state)
            if best is None or choice.key < best.key:
                best = choice
        return best

    def _step_s(self, state: EngineState, now_s: float) -> float:
        step_ms = state.account.step_ms(state.account.request_count + 1)
        return step_ms / 1000 * self._speeds.step_ratio(state.engine.id, now_s)

    def _fits(
        self, needs: RequestNeeds, state: EngineState, usual: float, now_s: float
    ) -> bool:
        pieces = needs.pieces(state)
        if not self._rules.tbt_limit:
            return state.account.fits(pieces)
        ratio = self._speeds.step_ratio(state.engine.id, now_s)
        slowness = max(1.0, ratio / max(1.0, usual))
        return state.account.fits(pieces, needs.tbt_target_ms, slowness)

    def _permitted(
        self, needs: RequestNeeds, states: Sequence[EngineState], now_s: float
    ) -> Sequence[EngineState]:
        """Return the engines that are neither excluded nor blocked.

        When a request excludes all engines of a role, the exclusion is left
        out: a second attempt on the same engine is better than none.
        """
        excluded = needs.request.excluded_engines
        if excluded:
            states = [s for s in states if s.engine.id not in excluded] or states
        if not self._speeds.has_failures:
            return states
        return [s for s in states if not self._speeds.is_blocked(s.engine.id, now_s)]
