"""Guards against truncated answers and engine memory that stays held."""

import asyncio
from collections.abc import AsyncIterator

import pytest

from kumquat_core.clock import ManualClock
from kumquat_core.configuration import (
    Configuration,
    Model,
    RequestClass,
)
from kumquat_core.engine_client import PrefillResult, Token
from kumquat_core.peer_messages import Grant, Release, ShardSummary
from kumquat_core.request_ids import RequestId, RequestIdSource
from kumquat_core.result_codes import Execution, ResultCode, RouterError
from kumquat_core.retry_budget import HedgeBudget
from kumquat_lab.sample_engines import make_engine
from kumquatrouter.background import BackgroundTasks
from kumquatrouter.model_path import ModelPath, ModelRequest

ANSWER = [Token(index, f'"t{index} "') for index in range(6)]
PREFILL = PrefillResult("p1", 10, 0, 1, 1000)


ENGINES = {
    "p1": make_engine("p1", prefill_tokens_per_s=1000.0),
    "p2": make_engine("p2", prefill_tokens_per_s=1000.0),
    "d1": make_engine("d1", prefill_tokens_per_s=1000.0),
    "d2": make_engine("d2", prefill_tokens_per_s=1000.0),
}
CONFIGURATION = Configuration(position=1, engines_by_id=ENGINES)
REQUEST = ModelRequest(
    request_id=RequestId("h", 1, 0),
    tenant="madafu",
    request_class=RequestClass("advice", 1000, 50, 1000, 5000, 0),
    model=Model("advice", "1", 4.0, 1000, 1000, 1000),
    pool="pool",
    prompt="where to",
    prompt_tokens=2,
    max_tokens=6,
    patience_ms=1000,
    deadline_ms=5000,
)


class FakeEngines:
    """Engines that fail or stall at a chosen stage."""

    def __init__(self) -> None:
        self.held: set[tuple[str, str]] = set()
        self.fail_at: dict[str, RouterError] = {}
        self.stall_at: set[str] = set()
        self.cut_after: dict[str, int] = {}
        self.indexes = list(range(len(ANSWER)))

    async def _stage(self, stage: str, url: str, request_id: str) -> None:
        self.held.add((url, request_id))
        if stage in self.stall_at or url in self.stall_at:
            await asyncio.Event().wait()
        if stage in self.fail_at:
            raise self.fail_at.pop(stage)

    async def prefill(self, url, request_id, model, prompt, timeout_s):
        await self._stage("prefill", url, request_id)
        self.held.discard((url, request_id))
        return PREFILL

    async def import_cache(self, url, request_id, *args):
        await self._stage("transfer", url, request_id)

    async def decode(
        self, url: str, request_id: str, max_tokens: int, start_index: int
    ) -> AsyncIterator[list[Token]]:
        await self._stage("decode", url, request_id)
        for index in self.indexes[start_index:]:
            if self.cut_after.get(url) == index:
                raise RouterError(ResultCode.STREAM_INTERRUPTED)
            yield [ANSWER[index]]
        self.held.discard((url, request_id))

    async def cancel(self, url: str, request_id: str) -> None:
        self.held.discard((url, request_id))


class FakeOwner:
    """Grants the first decode engine that is not excluded."""

    def __init__(self) -> None:
        self.granted: set[str] = set()
        self.releases: list[Release] = []
        self.refuse_after = 10

    async def admit(self, configuration, pool, request) -> Grant:
        free = [e for e in ("d1", "d2") if e not in request.excluded_engines]
        prefill = "p2" if "p1" in request.excluded_engines else "p1"
        if not free:
            raise RouterError(ResultCode.NO_ENGINE)
        if request.attempt > self.refuse_after:
            raise RouterError(ResultCode.NO_CAPACITY_IN_TIME)
        self.granted.add(request.request_id)
        summary = ShardSummary("pool/0", 1, 0, 0)
        return Grant(request.request_id, "pool/0", prefill, free[0], 1, summary)

    async def tell(self, message) -> None:
        if isinstance(message, Release):
            self.granted.discard(message.request_id)
            self.releases.append(message)


class ListSink:
    """Keeps the delivered tokens."""

    def __init__(self) -> None:
        self.tokens: list[Token] = []

    async def write(self, tokens, times) -> None:
        self.tokens.extend(tokens)


class Harness:
    """A model path with fakes on both sides."""

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
            RequestIdSource("h", 1),
            hedge_budget=hedge_budget,
        )

    async def run(self):
        try:
            return await self.path.run(CONFIGURATION, REQUEST, self.sink)
        finally:
            await self.background.drain(1.0)

    def assert_all_freed(self) -> None:
        assert self.engines.held == set()
        assert self.owner.granted == set()


@pytest.mark.parametrize("stage", ["prefill", "transfer", "decode"])
def test_disconnect_at_any_stage_frees_engines_and_owner(stage):
    async def scenario() -> Harness:
        harness = Harness()
        harness.engines.stall_at.add(stage)
        task = asyncio.create_task(harness.run())
        while not harness.engines.held or not _stalled_at(harness, stage):
            await asyncio.sleep(0)
        task.cancel()
        with pytest.raises(asyncio.CancelledError):
            await task
        return harness

    harness = asyncio.run(scenario())
    harness.assert_all_freed()
    release = harness.owner.releases[0]
    # A disconnect must not count as a failure of the engine in use.
    assert (release.code, release.failed_engine) == (ResultCode.CALLER_GONE, "")


def _stalled_at(harness: Harness, stage: str) -> bool:
    url = "http://p1" if stage == "prefill" else "http://d1"
    return any(held_url == url for held_url, _ in harness.engines.held)


@pytest.mark.parametrize(
    ("stage", "code"),
    [
        ("prefill", ResultCode.ENGINE_FAILED),
        ("transfer", ResultCode.PREFILL_EVICTED),
        ("transfer", ResultCode.ENGINE_MEMORY_FULL),
        ("decode", ResultCode.STREAM_INTERRUPTED),
    ],
)
def test_failed_stage_is_retried_and_answer_is_whole(stage, code):
    harness = Harness()
    harness.engines.fail_at[stage] = RouterError(code)
    times = asyncio.run(harness.run())
    assert harness.sink.tokens == ANSWER
    assert times.attempts == 2
    harness.assert_all_freed()


def test_refusal_after_a_failed_attempt_does_not_say_not_run():
    harness = Harness()
    harness.engines.fail_at["transfer"] = RouterError(ResultCode.TRANSFER_FAILED)
    harness.owner.refuse_after = 1
    with pytest.raises(RouterError) as caught:
        asyncio.run(harness.run())
    assert caught.value.code is ResultCode.NO_CAPACITY_IN_TIME
    assert caught.value.execution is Execution.UNKNOWN


def test_cut_stream_resumes_at_the_first_missing_token():
    harness = Harness()
    harness.engines.cut_after["http://d1"] = 3
    times = asyncio.run(harness.run())
    assert harness.sink.tokens == ANSWER
    assert times.decode_engine == "d2"
    harness.assert_all_freed()


def test_attempts_do_not_share_an_identifier():
    harness = Harness()
    harness.engines.fail_at["transfer"] = RouterError(ResultCode.TRANSFER_FAILED)
    asyncio.run(harness.run())
    ids = [release.request_id for release in harness.owner.releases]
    assert len(set(ids)) == 2


@pytest.mark.parametrize("indexes", [[0, 2], [0, 0], [1, 0]])
def test_tokens_out_of_order_never_reach_the_caller_as_whole(indexes):
    harness = Harness()
    harness.engines.indexes = indexes
    with pytest.raises(RouterError):
        asyncio.run(harness.run())
    delivered = [token.position for token in harness.sink.tokens]
    assert delivered == list(range(len(delivered)))
    harness.assert_all_freed()


def run_hedged(share: float, *stalled: str) -> tuple[Harness, list[int]]:
    harness = Harness(HedgeBudget(share))
    harness.engines.stall_at.update(stalled)
    asyncio.run(harness.run())
    codes = [release.code for release in harness.owner.releases]
    return harness, codes


def test_overdue_prefill_is_replaced_and_freed():
    harness, codes = run_hedged(1.0, "http://p1")
    assert harness.sink.tokens == ANSWER
    assert sorted(codes) == [ResultCode.OK, ResultCode.ATTEMPT_REPLACED]
    harness.assert_all_freed()


def test_prefill_in_time_is_not_hedged():
    harness, codes = run_hedged(1.0)
    assert codes == [ResultCode.OK]
    harness.assert_all_freed()


def test_disconnect_during_a_hedge_frees_both_attempts():
    async def scenario() -> Harness:
        harness = Harness(HedgeBudget(1.0))
        harness.engines.stall_at.update(("http://p1", "http://p2"))
        task = asyncio.create_task(harness.run())
        while len(harness.engines.held) < 2:
            await asyncio.sleep(0.001)
        task.cancel()
        with pytest.raises(asyncio.CancelledError):
            await task
        return harness

    harness = asyncio.run(scenario())
    assert len(harness.owner.releases) == 2
    harness.assert_all_freed()


def test_failed_hedge_leaves_the_first_attempt_alone():
    async def scenario() -> Harness:
        harness = Harness(HedgeBudget(1.0))
        release_first = asyncio.Event()
        original = harness.engines.prefill

        async def prefill(url, *args):
            if url == "http://p2":
                release_first.set()
                raise RouterError(ResultCode.ENGINE_FAILED)
            await release_first.wait()
            return await original(url, *args)

        harness.engines.prefill = prefill
        await harness.run()
        return harness

    harness = asyncio.run(scenario())
    assert harness.sink.tokens == ANSWER
    harness.assert_all_freed()
