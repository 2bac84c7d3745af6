"""Guards against duplicated, endless, stalled and incomplete responses."""

import asyncio
import json
from collections.abc import Awaitable, Callable
from typing import TypeVar

import aiohttp
import pytest

from kumquat_core import http_client, object_client
from kumquat_core.backend_client import BackendRequest, HttpBackendClient
from kumquat_core.engine_client import HttpEngineClient, Token
from kumquat_core.http_client import create_session, request_json
from kumquat_core.object_client import HttpObjectClient
from kumquat_core.result_codes import ResultCode, RouterError
from kumquat_core.token_events import MAX_EVENT_BYTES, read_token_batches

T = TypeVar("T")
Script = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]
PREFILL = {"tokens": 5, "cached_tokens": 0, "pieces": 1, "expires_ms": 900}
EVENT = b'data: {"i": 0, "t": "a"}\n\n'
IDLE_TIMEOUT_S = 0.3


def http_response(body: bytes) -> bytes:
    head = f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n"
    return head.encode() + body


def run_against_server(script: Script, call: Callable[[str], Awaitable[T]]) -> T:
    """Return the result of a call to a server that runs a script."""

    async def run() -> T:
        writers: list[asyncio.StreamWriter] = []

        async def serve(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            writers.append(writer)
            try:
                await script(reader, writer)
            except (asyncio.IncompleteReadError, ConnectionError):
                writer.close()

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        try:
            async with asyncio.timeout(10.0):
                return await call(f"http://127.0.0.1:{port}")
        finally:
            server.close()
            for writer in writers:
                writer.transport.abort()

    return asyncio.run(run())


def test_late_duplicate_is_not_the_response_to_the_next_request() -> None:
    """aiohttp took bytes that had arrived on an idle connection for the
    response to the next request on it."""

    async def script(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        while True:
            head = await reader.readuntil(b"\r\n\r\n")
            number = head.split(b" ")[1].lstrip(b"/")
            writer.write(http_response(b'{"n": %s}' % number))
            await asyncio.sleep(0.03)
            writer.write(http_response(b'{"n": %s}' % number))

    async def call(url: str) -> list[int]:
        seen = []
        async with create_session(1.0) as session:
            for number in range(3):
                _, document = await request_json(
                    session,
                    "GET",
                    f"{url}/{number}",
                    timeout_s=1.0,
                    error_code=ResultCode.ENGINE_FAILED,
                )
                seen.append(document["n"])
                await asyncio.sleep(0.1)
        return seen

    assert run_against_server(script, call) == [0, 1, 2]


def test_prefill_result_of_another_request_is_rejected() -> None:
    """Otherwise its KV cache would become the start of another output."""

    async def script(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await reader.readuntil(b"\r\n\r\n")
        other = {**PREFILL, "prefill_id": "p", "request_id": "other"}
        writer.write(http_response(json.dumps(other).encode()))
        await reader.read()

    async def call(url: str) -> ResultCode:
        async with create_session(1.0) as session:
            client = HttpEngineClient(session, IDLE_TIMEOUT_S)
            with pytest.raises(RouterError) as caught:
                await client.prefill(url, "mine", "m", "a b", 1.0)
        return caught.value.code

    assert run_against_server(script, call) is ResultCode.ENGINE_FAILED


def stream_that_sends(part: bytes, pause_s: float, head: str = "") -> Script:
    async def script(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await reader.readuntil(b"\r\n\r\n")
        writer.write(f"HTTP/1.1 200 OK\r\n{head}\r\n".encode())
        while not writer.is_closing():
            writer.write(part)
            await writer.drain()
            await asyncio.sleep(pause_s)

    return script


async def decode(url: str) -> list[Token]:
    async with create_session(1.0) as session:
        client = HttpEngineClient(session, IDLE_TIMEOUT_S)
        batches = client.decode(url, "mine", 5, 0)
        return [token async for batch in batches for token in batch]


def test_stream_without_complete_events_times_out_although_bytes_arrive() -> None:
    """Each byte restarted the idle timeout, so the call never ended."""
    with pytest.raises(RouterError) as caught:
        run_against_server(stream_that_sends(b"d", 0.02), decode)
    assert caught.value.code is ResultCode.STREAM_INTERRUPTED


def test_endless_event_ends_the_stream() -> None:
    with pytest.raises(RouterError) as caught:
        run_against_server(stream_that_sends(b"d" * 8192, 0.0), decode)
    assert caught.value.code is ResultCode.ENGINE_FAILED


def test_stream_of_another_request_is_rejected() -> None:
    head = "X-Request-Id: other\r\n"
    with pytest.raises(RouterError) as caught:
        run_against_server(stream_that_sends(EVENT, 0.05, head), decode)
    assert caught.value.code is ResultCode.ENGINE_FAILED


def test_slow_stream_does_not_time_out() -> None:
    """Any number of pauses shorter than the idle timeout is allowed."""

    class SlowContent:
        def __init__(self) -> None:
            self.remaining = 5

        async def readany(self) -> bytes:
            await asyncio.sleep(0.2)
            self.remaining -= 1
            return EVENT if self.remaining else b"data: [DONE]\n\n"

    async def run() -> int:
        content = SlowContent()
        batches = read_token_batches(content, IDLE_TIMEOUT_S)
        return sum([len(batch) async for batch in batches])

    assert asyncio.run(run()) == 4


def test_pending_bytes_of_an_event_are_bounded() -> None:
    class Endless:
        async def readany(self) -> bytes:
            return b"d" * 4096

    async def run() -> None:
        async for _ in read_token_batches(Endless(), 5.0):
            pass

    with pytest.raises(RouterError, match="does not end"):
        asyncio.run(run())
    assert MAX_EVENT_BYTES >= 64 * 1024


def test_endless_backend_response_has_unknown_outcome() -> None:
    async def call(url: str) -> ResultCode:
        async with create_session(1.0, reuse_connections=False) as session:
            request = BackendRequest("POST", "/book", b"", {}, "t/s/key/k", 1)
            with pytest.raises(RouterError) as caught:
                await HttpBackendClient(session).send(url, request, 8.0)
        return caught.value.code

    script = stream_that_sends(b"b" * 65536, 0.0)
    assert run_against_server(script, call) is ResultCode.OUTCOME_UNKNOWN


def test_endless_control_response_is_an_engine_failure(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(http_client, "MAX_RESPONSE_BYTES", 100_000)

    async def call(url: str) -> ResultCode:
        async with create_session(1.0) as session:
            with pytest.raises(RouterError) as caught:
                await HttpEngineClient(session, 1.0).cache_events(url, 0)
        return caught.value.code

    script = stream_that_sends(b"b" * 65536, 0.0)
    assert run_against_server(script, call) is ResultCode.ENGINE_FAILED


@pytest.mark.parametrize("method", ["get", "put"])
def test_endless_answer_of_the_object_store_is_a_store_failure(
    monkeypatch: pytest.MonkeyPatch, method: str
) -> None:
    """The client read all of it, until its time was over."""
    limit = 100_000
    monkeypatch.setattr(object_client, "MAX_RESPONSE_BYTES", limit)

    async def call(url: str) -> RouterError:
        async with create_session(1.0) as session:
            # Long enough that the limit and not the time ends the call.
            client = HttpObjectClient(session, url, 9.0)
            with pytest.raises(RouterError) as caught:
                if method == "get":
                    await client.get("o")
                else:
                    await client.put("o", b"x", None)
        return caught.value

    script = stream_that_sends(b"b" * 65536, 0.0)
    error = run_against_server(script, call)
    assert error.code is ResultCode.STORE_UNAVAILABLE
    assert "AnswerTooLargeError" in error.detail


def test_incomplete_backend_response_has_unknown_outcome() -> None:
    async def script(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await reader.readuntil(b"\r\n\r\n")
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf")
        await writer.drain()
        writer.close()

    async def call(url: str) -> ResultCode:
        async with aiohttp.ClientSession() as session:
            request = BackendRequest("POST", "/book", b"", {}, "t/s/key/k", 1)
            with pytest.raises(RouterError) as caught:
                await HttpBackendClient(session).send(url, request, 2.0)
        return caught.value.code

    assert run_against_server(script, call) is ResultCode.OUTCOME_UNKNOWN


@pytest.mark.parametrize("body", [b"{}", b"[]", b"null", b'{"prefill_id": "p"}'])
def test_prefill_answer_without_its_fields_is_an_engine_failure(body: bytes) -> None:
    """It raised a KeyError, which ended the request without a retry."""

    async def script(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await reader.readuntil(b"\r\n\r\n")
        writer.write(http_response(body))
        await reader.read()
        writer.close()

    async def call(url: str) -> ResultCode:
        async with create_session(1.0) as session:
            client = HttpEngineClient(session, IDLE_TIMEOUT_S)
            with pytest.raises(RouterError) as caught:
                await client.prefill(url, "mine", "m", "a b", 1.0)
        return caught.value.code

    assert run_against_server(script, call) is ResultCode.ENGINE_FAILED


@pytest.mark.parametrize("body", [b"{}", b"null", b'{"seen": null}', b'{"seen": 0}'])
def test_fence_answer_without_a_truth_value_is_unknown(body: bytes) -> None:
    """It was read as "never seen", so that the call was sent once more."""

    async def script(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await reader.readuntil(b"\r\n\r\n")
        writer.write(http_response(body))
        await reader.read()
        writer.close()

    async def call(url: str) -> ResultCode:
        async with create_session(1.0, reuse_connections=False) as session:
            client = HttpBackendClient(session)
            with pytest.raises(RouterError) as caught:
                await client.raise_fence(url, "key", 2)
        return caught.value.code

    assert run_against_server(script, call) is ResultCode.OUTCOME_UNKNOWN
