"""Test harness for a model path with fake engines and a fake shard owner.

Two prefill and three decode engines generate a response of six tokens. Faults
are set for a stage (``prefill``, ``transfer``, ``decode``) or for the URL of
an engine.
"""

import asyncio
from collections import defaultdict
from collections.abc import AsyncIterator
from types import MappingProxyType

from kumquat_core.clock import ManualClock
from kumquat_core.configuration import Configuration, Model, RequestClass
from kumquat_core.engine_client import (
    CacheEvent,
    EngineCommand,
    EngineReport,
    PrefillResult,
    Token,
)
from kumquat_core.peer_messages import (
    AdmissionRequest,
    CancelAdmission,
    Grant,
    PrefillDone,
    Release,
    ShardSummary,
    SlowStep,
)
from kumquat_core.request_ids import RequestId, RequestIdGenerator
from kumquat_core.result_codes import ResultCode, RouterError
from kumquat_core.retry_budget import HedgeBudget
from kumquatrouter.background import BackgroundTasks
from kumquatrouter.model_path import ModelPath, ModelRequest, RequestStats

from .sample_engines import make_engine

__all__ = ["RESPONSE_TOKENS", "FakeEngines", "FakeOwner", "ListSink", "ModelHarness"]

RESPONSE_TOKENS = [Token(position, f'"t{position} "') for position in range(6)]
PREFILL = PrefillResult("p1", 10, 0, 1, 1000)
CONFIGURATION = Configuration(
    position=1,
    engines_by_id=MappingProxyType(
        {
            engine_id: make_engine(engine_id, prefill_tokens_per_s=1000.0)
            for engine_id in ("p1", "p2", "d1", "d2", "d3")
        }
    ),
)
REQUEST = ModelRequest(
    request_id=RequestId("h", 1, 0),
    tenant="madafu",
    request_class=RequestClass("advice", 1000, 50, 1000, 5000, 0),
    model=Model("advice", "1", 4.0, 1000, 1000, 1000),
    pool="pool",
    prompt="where to",
    prompt_tokens=2,
    max_tokens=len(RESPONSE_TOKENS),
    patience_ms=1000,
    deadline_ms=5000,
)


class FakeEngines:
    """Engines that fail or stall at a given stage.

    ``fail_at`` holds the errors of a stage, one for each attempt that
    reaches it. ``cut_after`` interrupts the streams of an engine before a
    position.
    """

    def __init__(self) -> None:
        self.held: set[tuple[str, str]] = set()
        self.fail_at: dict[str, list[RouterError]] = defaultdict(list)
        self.stall_at: set[str] = set()
        self.cut_after: dict[str, int] = {}
        self.positions = list(range(len(RESPONSE_TOKENS)))

    async def _enter_stage(self, stage: str, url: str, request_id: str) -> None:
        """Allocate memory, then stall or fail as configured."""
        self.held.add((url, request_id))
        if stage in self.stall_at or url in self.stall_at:
            await asyncio.Event().wait()
        if self.fail_at[stage]:
            raise self.fail_at[stage].pop(0)

    async def prefill(
        self, url: str, request_id: str, model: str, prompt: str, timeout_s: float
    ) -> PrefillResult:
        """Complete a prefill immediately."""
        await self._enter_stage("prefill", url, request_id)
        self.held.discard((url, request_id))
        return PREFILL

    async def import_cache(
        self,
        url: str,
        request_id: str,
        model: str,
        source_url: str,
        prefill: PrefillResult,
        pieces: int,
        timeout_s: float,
    ) -> None:
        """Allocate memory until the end of the stream or a cancellation."""
        await self._enter_stage("transfer", url, request_id)

    async def decode(
        self, url: str, request_id: str, max_tokens: int, start_index: int
    ) -> AsyncIterator[list[Token]]:
        """Yield the tokens one at a time."""
        await self._enter_stage("decode", url, request_id)
        for position in self.positions[start_index:]:
            if self.cut_after.get(url) == position:
                raise RouterError(ResultCode.STREAM_INTERRUPTED)
            yield [RESPONSE_TOKENS[position]]
        self.held.discard((url, request_id))

    async def cancel(self, url: str, request_id: str) -> None:
        """Free the memory of a request."""
        self.held.discard((url, request_id))

    async def report(self, url: str, *, fresh: bool) -> EngineReport:
        """Not used: the model path reads no reports."""
        raise NotImplementedError

    async def cache_events(self, url: str, after: int) -> list[CacheEvent]:
        """Return no events."""
        return []

    async def send_command(self, url: str, command: EngineCommand) -> None:
        """Not used: the model path sends no commands."""
        raise NotImplementedError


class FakeOwner:
    """Grants the first engines that are not excluded.

    Attempts after ``refuse_after`` are refused.
    """

    def __init__(self) -> None:
        self.granted: set[str] = set()
        self.releases: list[Release] = []
        self.refuse_after = 10

    async def admit(
        self, configuration: Configuration, pool: str, request: AdmissionRequest
    ) -> Grant:
        """Return a grant immediately."""
        decode = [e for e in ("d1", "d2", "d3") if e not in request.excluded_engines]
        prefill = "p2" if "p1" in request.excluded_engines else "p1"
        if not decode:
            raise RouterError(ResultCode.NO_ENGINE)
        if request.attempt > self.refuse_after:
            raise RouterError(ResultCode.NO_CAPACITY_IN_TIME)
        self.granted.add(request.request_id)
        summary = ShardSummary("pool/0", 1, 0, 0)
        return Grant(request.request_id, "pool/0", prefill, decode[0], 1, summary)

    async def send_progress(
        self, message: PrefillDone | Release | CancelAdmission | SlowStep
    ) -> None:
        """Record releases."""
        if isinstance(message, Release):
            self.granted.discard(message.request_id)
            self.releases.append(message)


class ListSink:
    """Collects the delivered tokens."""

    def __init__(self) -> None:
        self.tokens: list[Token] = []

    async def write(self, tokens: list[Token], stats: RequestStats) -> None:
        """Add delivered tokens."""
        self.tokens.extend(tokens)


class ModelHarness:
    """A model path with fake engines, a fake owner and a token sink."""

    def __init__(self, hedge_budget: HedgeBudget | None = None) -> None:
        self.engines = FakeEngines()
        self.owner = FakeOwner()
        self.sink = ListSink()
        self.background = BackgroundTasks()
        self.path = ModelPath(
            ManualClock(),
            self.engines,
            self.owner,
            self.background,
            RequestIdGenerator("h", 1),
            hedge_budget=hedge_budget,
        )

    @property
    def is_complete(self) -> bool:
        """Tell whether the caller received each token once and in order."""
        return self.sink.tokens == RESPONSE_TOKENS

    @property
    def all_released(self) -> bool:
        """Tell whether engines and owner hold nothing for any request."""
        return not self.engines.held and not self.owner.granted

    async def run(self) -> RequestStats:
        """Run the request and wait for the background releases."""
        try:
            return await self.path.run(CONFIGURATION, REQUEST, self.sink)
        finally:
            await self.background.drain(1.0)

    async def run_until_disconnect(self, stage: str) -> None:
        """Cancel the request while it stalls at a stage."""
        self.engines.stall_at.add(stage)
        task = asyncio.create_task(self.run())
        url = "http://p1" if stage == "prefill" else "http://d1"
        while not any(held_url == url for held_url, _ in self.engines.held):
            await asyncio.sleep(0)
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
