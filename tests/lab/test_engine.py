"""Guards against emulated streams that resume or end incorrectly."""

import asyncio
import random
from typing import Any

import aiohttp
import pytest
from aiohttp import web

from kumquat_core.clock import SystemClock
from kumquat_core.engine_client import HttpEngineClient, PrefillResult, Token
from kumquat_core.http_client import create_session
from kumquat_core.result_codes import ResultCode, RouterError
from kumquat_lab.cost_model import EngineConfig
from kumquat_lab.emulated_engine import EmulatedEngine
from kumquat_lab.emulated_responses import response_text
from kumquat_lab.engine import engine_app
from kumquat_lab.engine_state import EngineError

PROMPT = "aa bb cc dd"


def make_config(role: str, **changes: Any) -> EngineConfig:
    fields = {
        "engine_id": role,
        "port": 0,
        "role": role,
        "models": ("m",),
        "step_base_ms": 0.0,
        "step_request_ms": 0.1,
        "prefill_overhead_ms": 0.0,
    }
    return EngineConfig.model_validate(fields | changes)


class Pair:
    """A prefill and a decode engine served on loopback."""

    def __init__(self, session: aiohttp.ClientSession, **changes: Any) -> None:
        self.client = HttpEngineClient(session, 5.0)
        self.engines = [
            EmulatedEngine(
                make_config(role, **changes), SystemClock(), random.Random(1), session
            )
            for role in ("prefill", "decode")
        ]
        self.prefill_engine, self.decode_engine = self.engines
        self.urls: list[str] = []

    async def __aenter__(self) -> "Pair":
        self._runners = []
        self._tasks = []
        for engine in self.engines:
            runner = web.AppRunner(engine_app(engine), handler_cancellation=True)
            await runner.setup()
            await web.TCPSite(runner, "127.0.0.1", 0).start()
            self._runners.append(runner)
            self.urls.append(f"http://127.0.0.1:{runner.addresses[0][1]}")
            self._tasks += [
                asyncio.create_task(call()) for call in engine.background_loops()
            ]
        return self

    async def __aexit__(self, *_: object) -> None:
        for task in self._tasks:
            task.cancel()
        for runner in self._runners:
            await runner.cleanup()

    async def prepare(self, request_id: str) -> PrefillResult:
        """Prefill at one engine and transfer to the other."""
        result = await self.client.prefill(self.urls[0], request_id, "m", PROMPT, 5)
        await self.client.import_cache(
            self.urls[1], request_id, "m", self.urls[0], result, 1, 5
        )
        return result

    async def decode(self, request_id: str, start: int, tokens: int) -> list[Token]:
        """Read a stream to its end."""
        batches = self.client.decode(self.urls[1], request_id, tokens, start)
        return [token async for batch in batches for token in batch]


def run(check: Any, **changes: Any) -> None:
    async def main() -> None:
        async with create_session(5.0) as session, Pair(session, **changes) as pair:
            await check(pair)

    asyncio.run(main())


def test_response_is_complete_and_memory_is_freed_at_its_end():
    async def check(pair: Pair) -> None:
        await pair.prepare("r")
        tokens = await pair.decode("r", 0, 30)
        text = "".join(token.text for token in tokens)
        assert text == response_text("m", PROMPT, 30)
        assert pair.decode_engine.memory.held_pieces == 0
        assert pair.prefill_engine.results.memory.held_pieces == 0

    run(check)


def test_resumed_stream_continues_at_start_index():
    async def check(pair: Pair) -> None:
        await pair.prepare("r")
        tokens = await pair.decode("r", 20, 30)
        assert [token.position for token in tokens] == list(range(20, 30))
        text = "".join(token.text for token in tokens)
        assert response_text("m", PROMPT, 30).endswith(text)

    run(check)


def test_broken_stream_keeps_its_memory_until_cancelled():
    async def check(pair: Pair) -> None:
        await pair.prepare("r")
        with pytest.raises(RouterError) as caught:
            async for _ in pair.client.decode(pair.urls[1], "r", 10_000, 0):
                pair.decode_engine.break_streams()
        assert caught.value.code is ResultCode.STREAM_INTERRUPTED
        held = (await pair.client.report(pair.urls[1], fresh=True)).requests
        assert [item.request_id for item in held] == ["r"]
        await pair.client.cancel(pair.urls[1], "r")
        assert pair.decode_engine.memory.held_pieces == 0

    run(check, total_pieces=100)


def test_import_of_an_evicted_result_returns_410():
    async def check(pair: Pair) -> None:
        result = await pair.client.prefill(pair.urls[0], "r", "m", PROMPT, 5)
        pair.prefill_engine.results.evict(float("inf"))
        with pytest.raises(RouterError) as caught:
            await pair.client.import_cache(
                pair.urls[1], "r", "m", pair.urls[0], result, 1, 5
            )
        assert caught.value.code is ResultCode.PREFILL_EVICTED
        assert pair.decode_engine.memory.held_pieces == 0

    run(check)


def test_full_engine_refuses_before_it_contacts_the_source():
    async def check(pair: Pair) -> None:
        pair.decode_engine.memory.allocate("other", 40, 0.0)
        with pytest.raises(RouterError) as caught:
            await pair.prepare("r")
        assert caught.value.code is ResultCode.ENGINE_MEMORY_FULL
        assert pair.prefill_engine.results.memory.held_pieces == 1

    run(check)


def test_second_prefill_of_a_prompt_hits_the_cache():
    async def check(pair: Pair) -> None:
        prompt = "abc " * 1024
        first = await pair.client.prefill(pair.urls[0], "r1", "m", prompt, 5)
        second = await pair.client.prefill(pair.urls[0], "r2", "m", prompt, 5)
        assert (first.cached_tokens, second.cached_tokens) == (0, 819)

    run(check)


def test_command_with_a_stale_fence_is_refused_only_if_checked():
    async def check(pair: Pair) -> None:
        command = {"kind": "set_role", "role": "decode", "fence": 5}
        for engine, checks in (
            (pair.prefill_engine, True),
            (pair.decode_engine, False),
        ):
            engine.config = engine.config.model_copy(update={"checks_fencing": checks})
            await engine.apply_command(command)
        with pytest.raises(EngineError) as caught:
            await pair.prefill_engine.apply_command(command | {"fence": 4})
        assert caught.value.status == 412
        await pair.decode_engine.apply_command(
            command | {"fence": 4, "role": "prefill"}
        )
        assert pair.decode_engine.role == "prefill"

    run(check)


def test_prompt_that_crashes_an_engine_ends_all_its_streams():
    async def check(pair: Pair) -> None:
        await pair.prepare("sound")
        sound = asyncio.ensure_future(pair.decode("sound", 0, 10_000))
        while not pair.decode_engine.counts["tokens"]:
            await asyncio.sleep(0.001)
        pair.decode_engine.apply_faults({"crash_text": "cc", "crash_s": 60.0})
        await pair.prepare("deadly")
        for task in (pair.decode("deadly", 0, 10), sound):
            with pytest.raises(RouterError):
                await task
        assert pair.decode_engine.counts["crashes"] == 1
        assert pair.decode_engine.memory.held_pieces == 0
        with pytest.raises(RouterError):
            await pair.client.report(pair.urls[1], fresh=True)
        pair.decode_engine.apply_faults({"crash_text": ""})
        pair.decode_engine.faults.down_until_s = 0.0
        await pair.prepare("again")
        assert len(await pair.decode("again", 0, 10)) == 10

    run(check, total_pieces=100)
