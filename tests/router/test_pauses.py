"""Guards against a pause of a sound server that is taken for its end.

Engines and backend servers may fall silent for 0.6 to 1.6 s and go on.
"""

import asyncio
import random
import socket
from types import SimpleNamespace

import pytest
from aiohttp import web
from aiohttp.test_utils import TestServer

from kumquat_core.backend_client import BackendResponse, HttpBackendClient
from kumquat_core.clock import SystemClock
from kumquat_core.configuration import (
    BackendServer,
    Configuration,
    ServerState,
    Service,
    ServiceKind,
)
from kumquat_core.engine_client import HttpEngineClient
from kumquat_core.http_client import create_session
from kumquat_core.idempotency import IdempotencyGuard
from kumquat_core.request_ids import RequestId
from kumquat_core.result_codes import ResultCode, RouterError
from kumquat_lab.memory_fakes import MemoryTable
from kumquat_lab.model_harness import ModelHarness
from kumquat_lab.virtual_time import run_in_virtual_time
from kumquatrouter.plain_path import PlainPath, PlainRequest

PAUSE_S = 1.6


@pytest.mark.parametrize("pause_s", [0.6, PAUSE_S])
def test_pause_during_a_transfer_is_no_failure_of_the_engine(pause_s):
    """The import ended after 0.5 s: the prefill was wasted and the engine
    blocked, and once the retry budget was used up the request failed."""

    async def main(_):
        harness = ModelHarness()

        async def import_cache(*arguments):
            try:
                async with asyncio.timeout(arguments[-1]):
                    await asyncio.sleep(pause_s)
            except TimeoutError as error:
                raise RouterError(ResultCode.TRANSFER_FAILED) from error

        harness.engines.import_cache = import_cache
        stats = await harness.run()
        assert harness.is_complete
        return stats.attempts, [item.failed_engine for item in harness.owner.releases]

    assert run_in_virtual_time(main) == (1, [""])


def test_cancel_reaches_an_engine_that_pauses():
    """It was given up after 1 s; the engine dropped it with its connection and
    kept the memory of the abandoned request until a sweep."""
    cancelled: list[str] = []

    async def cancel(request: web.Request) -> web.Response:
        await asyncio.sleep(PAUSE_S)
        cancelled.append(request.match_info["request_id"])
        return web.json_response({})

    async def main() -> None:
        app = web.Application()
        app.router.add_delete("/v1/requests/{request_id}", cancel)
        async with (
            TestServer(app, handler_cancellation=True) as server,
            create_session(1.0) as session,
        ):
            client = HttpEngineClient(session, 5.0)
            await client.cancel(str(server.make_url("")).rstrip("/"), "h.1.1")

    asyncio.run(main())
    assert cancelled == ["h.1.1"]


CONNECT_TIMEOUT_S = 0.2


@pytest.mark.parametrize("repeatable", [True, False])
def test_only_server_that_accepts_no_connection_for_a_while_gets_the_call_once(
    repeatable,
):
    """One connection that was not accepted within its timeout ended the call,
    although the server of the service only paused. Nothing is sent twice."""
    received: list[bytes] = []

    async def serve(reader, writer):
        head = await reader.readline()
        if head:
            received.append(head)
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
        writer.close()
        await writer.wait_closed()

    async def main() -> BackendResponse:
        listener = socket.socket()
        listener.bind(("127.0.0.1", 0))
        # The kernel leaves all connections after the first one unanswered
        # until it is accepted.
        listener.listen(0)
        first = socket.create_connection(listener.getsockname())
        async with create_session(
            CONNECT_TIMEOUT_S, reuse_connections=False
        ) as session:
            client = HttpBackendClient(session)
            clock = SystemClock()
            guard = IdempotencyGuard(
                MemoryTable(), client, clock, lambda *_: True, intent_lease_s=5.0
            )
            directory = SimpleNamespace(backend_states_by_id={})
            path = PlainPath(clock, client, directory, guard, random.Random(1))
            call = asyncio.create_task(
                path.run(*make_call(listener.getsockname()[1], repeatable=repeatable))
            )
            await asyncio.sleep(1.2 * CONNECT_TIMEOUT_S)
            listener.setblocking(False)
            server = await asyncio.start_server(serve, sock=listener)
            first.close()
            async with server:
                return await call

    assert asyncio.run(main()).body == b"ok"
    assert len(received) == 1


def make_call(port: int, *, repeatable: bool) -> tuple[Configuration, PlainRequest]:
    server = BackendServer(
        "s1", f"http://127.0.0.1:{port}", "book", "fjord-a", ServerState.LIVE, False
    )
    service = Service("book", ServiceKind.PLAIN, repeatable=repeatable, timeout_ms=3000)
    request = PlainRequest(
        RequestId("h", 1, 1), "hagestad", service, "POST", "x", b"", {}, "key", 3000
    )
    return Configuration(backend_servers_by_id={"s1": server}), request
