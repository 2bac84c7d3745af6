"""Admission to the engines of one shard.

The scheduler keeps the exact account of the shard's decode memory and of
the prefills in progress. A request waits here, not in an engine, until a
prefill engine is idle and a decode engine has memory for the whole request;
both are then granted together, so that no prefill runs without a decode
place. The queue is ordered by deadline.
"""

import asyncio
from collections.abc import Iterable
from dataclasses import dataclass, field

from returns.result import Failure, Result, Success

from .clock import Clock
from .configuration import Engine, EngineRole, ServerState
from .engine_accounts import EngineAccount, pieces_for
from .engine_client import EngineReport
from .peer_messages import (
    AdmissionRequest,
    Grant,
    PrefillDone,
    Refusal,
    Release,
    ShardSummary,
)
from .request_ids import RequestId
from .result_codes import ResultCode

__all__ = ["ShardScheduler"]

MAX_PREFILLS_PER_ENGINE = 1
RETRY_AFTER_MS = 1000

# A request that the engine reports but that the account does not know is
# cancelled only after this age: its grant may still be on the way.
SWEEP_MIN_AGE_MS = 1000


@dataclass(eq=False)
class _Waiting:
    request: AdmissionRequest
    deadline_s: float
    answer: "asyncio.Future[Result[Grant, Refusal]]"


@dataclass
class _Granted:
    request: AdmissionRequest
    prefill_engine: str
    decode_engine: str
    prefilling: bool = True


@dataclass
class _Prefills:
    request_ids: set[str] = field(default_factory=set)


class ShardScheduler:
    """Queues requests of one shard and grants engine pairs."""

    def __init__(self, shard_id: str, clock: Clock) -> None:
        self._shard_id = shard_id
        self._clock = clock
        self._engines_by_id: dict[str, Engine] = {}
        self._accounts_by_id: dict[str, EngineAccount] = {}
        self._prefills_by_id: dict[str, _Prefills] = {}
        self._waiting_by_request_id: dict[str, _Waiting] = {}
        self._granted_by_request_id: dict[str, _Granted] = {}

    @property
    def engine_ids(self) -> list[str]:
        """Return the engines of the shard."""
        return list(self._engines_by_id)

    def update_engines(self, engines: Iterable[Engine]) -> None:
        """Take over the engines of the configuration in force."""
        self._engines_by_id = {engine.id: engine for engine in engines}
        for engine in self._engines_by_id.values():
            if engine.id in self._accounts_by_id:
                self._accounts_by_id[engine.id].engine = engine
            else:
                self._accounts_by_id[engine.id] = EngineAccount(engine)
            self._prefills_by_id.setdefault(engine.id, _Prefills())
        self._grant_waiting()

    async def admit(self, request: AdmissionRequest) -> Result[Grant, Refusal]:
        """Wait for a pair of engines; refuse when the patience ends."""
        deadline_s = self._clock.monotonic() + request.patience_ms / 1000
        answer: asyncio.Future[Result[Grant, Refusal]] = (
            asyncio.get_running_loop().create_future()
        )
        self._waiting_by_request_id[request.request_id] = _Waiting(
            request, deadline_s, answer
        )
        self._grant_waiting()
        try:
            async with asyncio.timeout(request.patience_ms / 1000):
                return await answer
        except TimeoutError:
            return Failure(self._refusal(request, ResultCode.NO_CAPACITY_IN_TIME))
        finally:
            self._waiting_by_request_id.pop(request.request_id, None)

    def prefill_done(self, message: PrefillDone) -> None:
        """Free the prefill engine; the decode place is kept."""
        granted = self._granted_by_request_id.get(message.request_id)
        if granted is not None:
            self._end_prefill(message.request_id, granted)
            self._grant_waiting()

    def release(self, message: Release) -> None:
        """Free all that a granted request holds."""
        self._free(message.request_id)
        self._grant_waiting()

    def cancel(self, request_id: str) -> None:
        """Drop a waiting request, or free one that was just granted."""
        waiting = self._waiting_by_request_id.pop(request_id, None)
        if waiting is not None and not waiting.answer.done():
            refusal = self._refusal(waiting.request, ResultCode.CALLER_GONE)
            waiting.answer.set_result(Failure(refusal))
        self._free(request_id)
        self._grant_waiting()

    def drop_host(self, host_id: str, incarnation: int) -> list[tuple[str, str]]:
        """Free the grants of a dead process.

        Return the pairs of engine id and request id to cancel.
        """
        to_cancel = []
        for request_id in list(self._granted_by_request_id):
            parsed = RequestId.parse(request_id)
            if (parsed.host_id, parsed.incarnation) != (host_id, incarnation):
                continue
            granted = self._granted_by_request_id[request_id]
            to_cancel.append((granted.prefill_engine, request_id))
            to_cancel.append((granted.decode_engine, request_id))
            self._free(request_id)
        self._grant_waiting()
        return to_cancel

    def unknown_requests(self, engine_id: str, report: EngineReport) -> list[str]:
        """Return reported requests that no grant accounts for."""
        return [
            held.request_id
            for held in report.requests
            if held.request_id not in self._granted_by_request_id
            and held.age_ms >= SWEEP_MIN_AGE_MS
        ]

    def summary(self) -> ShardSummary:
        """Return the state of the shard for replies."""
        free = sum(account.free_pieces for account in self._decode_accounts())
        queued = len(self._waiting_by_request_id)
        return ShardSummary(self._shard_id, free, queued, 0)

    def _grant_waiting(self) -> None:
        waiting = sorted(
            self._waiting_by_request_id.values(), key=lambda item: item.deadline_s
        )
        for item in waiting:
            if item.answer.done():
                continue
            grant = self._try_grant(item.request)
            if grant is not None:
                del self._waiting_by_request_id[item.request.request_id]
                item.answer.set_result(Success(grant))

    def _try_grant(self, request: AdmissionRequest) -> Grant | None:
        prefill = self._choose_prefill(request)
        decode = self._choose_decode(request)
        if prefill is None or decode is None:
            return None
        pieces = self._pieces(request, decode.engine)
        decode.reserve(request.request_id, pieces, self._clock.monotonic())
        self._prefills_by_id[prefill.id].request_ids.add(request.request_id)
        self._granted_by_request_id[request.request_id] = _Granted(
            request, prefill.id, decode.engine.id
        )
        return Grant(
            request.request_id,
            self._shard_id,
            prefill.id,
            decode.engine.id,
            pieces,
            self.summary(),
        )

    def _choose_prefill(self, request: AdmissionRequest) -> Engine | None:
        idle = [
            engine
            for engine in self._usable(request, EngineRole.PREFILL)
            if len(self._prefills_by_id[engine.id].request_ids)
            < MAX_PREFILLS_PER_ENGINE
        ]
        return min(idle, key=lambda engine: engine.id, default=None)

    def _choose_decode(self, request: AdmissionRequest) -> EngineAccount | None:
        accounts = [
            self._accounts_by_id[engine.id]
            for engine in self._usable(request, EngineRole.DECODE)
        ]
        fitting = [a for a in accounts if a.fits(self._pieces(request, a.engine))]
        return max(fitting, key=lambda account: account.free_pieces, default=None)

    def _usable(self, request: AdmissionRequest, role: EngineRole) -> list[Engine]:
        return [
            engine
            for engine in self._engines_by_id.values()
            if engine.role is role
            and engine.state is ServerState.LIVE
            and request.model in engine.models
            and engine.id not in request.excluded_engines
        ]

    def _decode_accounts(self) -> list[EngineAccount]:
        return [
            self._accounts_by_id[engine.id]
            for engine in self._engines_by_id.values()
            if engine.role is EngineRole.DECODE
        ]

    def _free(self, request_id: str) -> None:
        granted = self._granted_by_request_id.pop(request_id, None)
        if granted is None:
            return
        self._end_prefill(request_id, granted)
        self._accounts_by_id[granted.decode_engine].release(request_id)

    def _end_prefill(self, request_id: str, granted: _Granted) -> None:
        granted.prefilling = False
        self._prefills_by_id[granted.prefill_engine].request_ids.discard(request_id)

    def _refusal(self, request: AdmissionRequest, code: ResultCode) -> Refusal:
        return Refusal(
            request.request_id, code.value, code.name, RETRY_AFTER_MS, self.summary()
        )

    @staticmethod
    def _pieces(request: AdmissionRequest, engine: Engine) -> int:
        tokens = request.prompt_tokens + request.max_tokens
        return pieces_for(tokens, engine.piece_tokens)
