"""Guards against emulated servers that survive the request that crashes them,
lose the wrong connections, or are not back after their time."""

import asyncio
import contextlib
import random
import time
from collections.abc import Awaitable, Callable

import aiohttp
import pytest

from kumquat_core.backend_client import BackendRequest, HttpBackendClient
from kumquat_core.clock import SystemClock
from kumquat_core.engine_client import HttpEngineClient
from kumquat_core.http_client import create_session
from kumquat_core.result_codes import ResultCode, RouterError
from kumquat_lab.backend_server import BackendConfig, BackendHostConfig, run_backends
from kumquat_lab.cost_model import EngineConfig
from kumquat_lab.emulated_engine import EmulatedEngine
from kumquat_lab.engine import engine_app
from kumquat_lab.processes import reserve_ports
from kumquat_lab.serving import serve_app

CRASH_S = 0.3
FAULT = {"crash_text": "deadly", "crash_s": CRASH_S}
Check = Callable[[aiohttp.ClientSession, str], Awaitable[None]]


async def run_while_serving(
    serving: Awaitable[None], url: str, path: str, check: Check
) -> None:
    """Wait until a server answers, set its fault and run the check."""
    task = asyncio.ensure_future(serving)
    try:
        async with asyncio.timeout(10), create_session(1.0) as session:
            while True:
                with contextlib.suppress(aiohttp.ClientError):
                    async with session.get(url + path):
                        break
                await asyncio.sleep(0.01)
            async with session.post(f"{url}/faults", json=FAULT) as response:
                assert response.status == 200
            await check(session, url)
    finally:
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)


def code_of(error: BaseException | object) -> ResultCode:
    assert isinstance(error, RouterError)
    return error.code


@pytest.mark.parametrize(
    ("method", "path", "body"),
    [("GET", "/deadly", b""), ("POST", "/x", b"a deadly call")],
)
def test_call_that_crashes_a_backend_server_ends_all_its_calls(method, path, body):
    async def check(session: aiohttp.ClientSession, url: str) -> None:
        async with create_session(1.0, reuse_connections=False) as single_use:
            client = HttpBackendClient(single_use)

            def send(name: str, method: str, path: str, body: bytes):
                call = BackendRequest(method, path, body, {}, name, 0)
                return client.send(url, call, 5.0)

            beside = asyncio.create_task(send("beside", "POST", "/slow", b"sound"))
            await asyncio.sleep(0.05)
            began_s = time.monotonic()
            crashing = send("deadly", method, path, body)
            ended = await asyncio.gather(crashing, beside, return_exceptions=True)
            assert [code_of(error) for error in ended] == (
                [ResultCode.OUTCOME_UNKNOWN] * 2
            )
            with pytest.raises(RouterError) as caught:
                await send("early", "POST", "/x", b"sound")
            assert caught.value.code is ResultCode.BACKEND_UNREACHABLE
            await asyncio.sleep(began_s + CRASH_S + 0.2 - time.monotonic())
            assert (await send("later", "POST", "/x", b"sound")).status == 200
            async with session.get(f"{url}/executions") as response:
                document = await response.json()
        assert document["crashes"] == 1
        assert ("early" not in document["by_key"]) and "later" in document["by_key"]

    (port,) = reserve_ports(1)
    config = BackendConfig(server_id="s", service="b", port=port, service_ms=200.0)
    serving = run_backends(BackendHostConfig(servers=(config,)))
    asyncio.run(
        run_while_serving(serving, f"http://127.0.0.1:{port}", "/executions", check)
    )


def test_prompt_that_crashes_a_prefill_engine_ends_the_prefills_beside_it():
    async def main() -> None:
        (port,) = reserve_ports(1)
        config = EngineConfig(
            engine_id="p", port=port, role="prefill", models=("m",), evict_after_s=9.0
        )
        async with aiohttp.ClientSession() as session:
            engine = EmulatedEngine(config, SystemClock(), random.Random(1), session)
            loops = [asyncio.create_task(call()) for call in engine.background_loops()]
            serving = serve_app(engine_app(engine), port, engine)
            url = f"http://127.0.0.1:{port}"
            await run_while_serving(serving, url, "/v1/report", check)
            for loop_task in loops:
                loop_task.cancel()
        assert engine.counts["crashes"] == 1

    async def check(session: aiohttp.ClientSession, url: str) -> None:
        client = HttpEngineClient(session, 5.0)
        prompts = ("sound one", "deadly", "sound two")
        ended = await asyncio.gather(
            *(client.prefill(url, prompt, "m", prompt, 5.0) for prompt in prompts),
            return_exceptions=True,
        )
        # Each was queued or running; the first one may have ended before.
        assert [code_of(error) for error in ended[1:]] == (
            [ResultCode.ENGINE_FAILED] * 2
        )
        with pytest.raises(RouterError):
            await client.report(url, fresh=True)
        await asyncio.sleep(CRASH_S + 0.2)
        assert (await client.report(url, fresh=True)).requests == ()
        assert (await client.prefill(url, "again", "m", "sound", 5.0)).tokens == 1

    asyncio.run(main())
