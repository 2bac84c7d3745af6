"""Ledger of a shard: the work and the reserved memory of its engines.

The owner of the shard keeps the ledger. Memory is counted in pieces, the
allocation units of an engine's KV cache. Each reservation belongs to one
request id. It is made before the prefill starts and is freed by a release,
so the sum of reservations in one owner's ledger never exceeds an engine's
memory. Prefills in progress and transfers are recorded separately.
"""

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field, replace

from .configuration import Engine, EngineRole, ServerState
from .link_schedule import LinkSchedule

__all__ = [
    "EngineReservations",
    "EngineState",
    "PrefillJob",
    "Reservation",
    "ShardLedger",
    "pieces_for",
]


def pieces_for(tokens: int, piece_tokens: int) -> int:
    """Return the number of pieces for ``tokens`` tokens; at least one."""
    return max(1, -(-tokens // piece_tokens))


@dataclass(frozen=True)
class Reservation:
    """Memory reserved for one request since ``since_s``.

    ``tbt_target_ms`` is the time-between-tokens (TBT) target of the request's
    class; 0 means none.
    """

    request_id: str
    pieces: int
    since_s: float
    tbt_target_ms: float = 0.0


@dataclass
class EngineReservations:
    """Reservations on one decode engine."""

    engine: Engine
    reservations_by_request_id: dict[str, Reservation] = field(default_factory=dict)
    held_pieces: int = 0
    _request_counts_by_tbt_ms: Counter[float] = field(default_factory=Counter)

    @property
    def free_pieces(self) -> int:
        """Return the pieces that are not reserved; never negative."""
        free = self.engine.total_pieces - self.held_pieces
        return free if free > 0 else 0

    @property
    def request_count(self) -> int:
        """Return the number of requests with a reservation."""
        return len(self.reservations_by_request_id)

    def step_ms(self, request_count: int) -> float:
        """Return the nominal time of a decode step with ``request_count``."""
        engine = self.engine
        return engine.step_base_ms + engine.step_request_ms * request_count

    def fits(
        self, pieces: int, tbt_target_ms: float = 0.0, slowdown: float = 1.0
    ) -> bool:
        """Return whether a request that needs ``pieces`` can be admitted.

        With the request in the batch, a decode step must still meet the
        strictest TBT target of the batch. ``slowdown`` multiplies the nominal
        step time.
        """
        count = self.request_count + 1
        if count > self.engine.max_requests or pieces > self.free_pieces:
            return False
        limit_ms = self._strictest_tbt_ms(tbt_target_ms)
        if not limit_ms or self.step_ms(count) * slowdown <= limit_ms:
            return True
        # No batch meets a target below the step time of a single request.
        # Such a request is admitted alone.
        return count == 1 and self.step_ms(1) > limit_ms

    def reserve(
        self, request_id: str, pieces: int, now_s: float, tbt_target_ms: float = 0.0
    ) -> None:
        """Reserve memory; replaces an existing reservation of the request."""
        self.release(request_id)
        reservation = Reservation(request_id, pieces, now_s, tbt_target_ms)
        self.reservations_by_request_id[request_id] = reservation
        self.held_pieces += pieces
        self._request_counts_by_tbt_ms[tbt_target_ms] += 1

    def release(self, request_id: str) -> bool:
        """Free the memory of a request; return whether it had any reserved."""
        reservation = self.reservations_by_request_id.pop(request_id, None)
        if reservation is None:
            return False
        self.held_pieces -= reservation.pieces
        self._request_counts_by_tbt_ms[reservation.tbt_target_ms] -= 1
        if not self._request_counts_by_tbt_ms[reservation.tbt_target_ms]:
            del self._request_counts_by_tbt_ms[reservation.tbt_target_ms]
        return True

    def _strictest_tbt_ms(self, tbt_target_ms: float) -> float:
        """Return the lowest TBT target with one more request; 0 means none."""
        targets = [target for target in self._request_counts_by_tbt_ms if target]
        if tbt_target_ms:
            targets.append(tbt_target_ms)
        return min(targets, default=0.0)


@dataclass(frozen=True)
class PrefillJob:
    """A prefill in progress.

    ``nominal_s`` is its duration at nominal speed, ``expected_blocks`` the
    number of prompt blocks that the engine was expected to have cached. It has
    waited ``waited_s`` at the engine for the prefill before it.
    """

    request_id: str
    started_s: float
    nominal_s: float
    expected_blocks: int = 0
    waited_s: float = 0.0


@dataclass
class EngineState:
    """Reservations, prefills and transfers of one engine.

    An engine that changes its role may still have work of its former role.
    """

    engine: Engine
    reservations: EngineReservations
    link: LinkSchedule
    jobs_by_request_id: dict[str, PrefillJob] = field(default_factory=dict)

    @classmethod
    def from_engine(cls, engine: Engine) -> "EngineState":
        """Return the state of an engine without work."""
        return cls(
            engine, EngineReservations(engine), LinkSchedule(engine.link_bytes_per_s)
        )

    @property
    def is_empty(self) -> bool:
        """Return whether no request uses the engine."""
        return not (self.jobs_by_request_id or self.reservations.request_count)

    def end_prefill(self, request_id: str, now_s: float) -> PrefillJob | None:
        """Remove a prefill; the next one starts, as one runs at a time."""
        was_first = next(iter(self.jobs_by_request_id), None) == request_id
        job = self.jobs_by_request_id.pop(request_id, None)
        following = next(iter(self.jobs_by_request_id.values()), None)
        if was_first and following is not None:
            self.jobs_by_request_id[following.request_id] = replace(
                following, started_s=now_s, waited_s=now_s - following.started_s
            )
        return job

    def replace_engine(self, engine: Engine) -> None:
        """Replace the properties of the engine and keep its work."""
        self.engine = engine
        self.reservations.engine = engine
        self.link.bytes_per_s = engine.link_bytes_per_s


class ShardLedger:
    """State of the engines of one shard, by id or by role and model."""

    def __init__(self) -> None:
        self.states_by_id: dict[str, EngineState] = {}
        self._prefill_by_model: dict[str, list[EngineState]] = {}
        self._decode_by_model: dict[str, list[EngineState]] = {}
        self._related_by_model: dict[str, frozenset[str]] = {}

    def update(self, engines: Iterable[Engine]) -> None:
        """Replace the configured engines.

        An engine that is no longer configured keeps its state until an update
        that comes after the release of its last request.
        """
        engines_by_id = {engine.id: engine for engine in engines}
        for engine_id, state in list(self.states_by_id.items()):
            if engine_id not in engines_by_id and state.is_empty:
                del self.states_by_id[engine_id]
        for engine in engines_by_id.values():
            if engine.id in self.states_by_id:
                self.states_by_id[engine.id].replace_engine(engine)
            else:
                self.states_by_id[engine.id] = EngineState.from_engine(engine)
        self._rebuild_index(engines_by_id)

    def prefill_engines(self, model: str) -> list[EngineState]:
        """Return the live prefill engines that serve a model."""
        return self._prefill_by_model.get(model, [])

    def decode_engines(self, model: str) -> list[EngineState]:
        """Return the live decode engines that serve a model."""
        return self._decode_by_model.get(model, [])

    def models_sharing_engines(self, model: str) -> frozenset[str]:
        """Return the models that share a live engine with a model.

        The model itself is among them.
        """
        return self._related_by_model.get(model, frozenset({model}))

    def all_decode_engines(self) -> list[EngineState]:
        """Return all live decode engines of the shard."""
        return [
            state
            for state in self.states_by_id.values()
            if state.engine.role is EngineRole.DECODE
            and state.engine.state is ServerState.LIVE
        ]

    def _rebuild_index(self, engines_by_id: dict[str, Engine]) -> None:
        """Rebuild the lists of live engines and of related models."""
        self._prefill_by_model = {}
        self._decode_by_model = {}
        related: dict[str, set[str]] = {}
        for engine in engines_by_id.values():
            if engine.state is not ServerState.LIVE:
                continue
            by_model = (
                self._prefill_by_model
                if engine.role is EngineRole.PREFILL
                else self._decode_by_model
            )
            for model in engine.models:
                by_model.setdefault(model, []).append(self.states_by_id[engine.id])
                related.setdefault(model, set()).update(engine.models)
        self._related_by_model = {
            model: frozenset(models) for model, models in related.items()
        }
