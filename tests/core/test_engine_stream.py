"""Guards against malformed or incomplete events in an engine's stream."""

import asyncio
import json

import aiohttp
import pytest
from aiohttp import web
from aiohttp.test_utils import TestServer

from kumquat_core.engine_client import HttpEngineClient, Token
from kumquat_core.result_codes import ResultCode, RouterError
from kumquat_core.token_events import read_token_batches

TEXTS = ["a ", 'quote " and \\ slash', "tab\tline\n", "\u00e6\u00f8\u00e5 \u2603", ""]
END = "data: [DONE]\n\n"


class ChunkedContent:
    """Content of a response that arrives in chunks of a fixed size."""

    def __init__(self, data: bytes, size: int) -> None:
        self._chunks = [data[at : at + size] for at in range(0, len(data), size)]

    async def readany(self) -> bytes:
        return self._chunks.pop(0) if self._chunks else b""


def events(texts: list[str]) -> str:
    return "".join(
        f"data: {json.dumps({'i': index, 't': text}, ensure_ascii=False)}\n\n"
        for index, text in enumerate(texts)
    )


def read_all(data: str, size: int = 7) -> list[Token]:
    async def collect() -> list[Token]:
        content = ChunkedContent(data.encode(), size)
        return [token async for batch in read_token_batches(content) for token in batch]

    return asyncio.run(collect())


@pytest.mark.parametrize("size", [1, 5, 64, 10000])
def test_texts_are_independent_of_how_the_stream_is_split(size):
    tokens = read_all(events(TEXTS) + END, size)
    assert [token.text for token in tokens] == TEXTS
    assert [token.position for token in tokens] == list(range(len(TEXTS)))


@pytest.mark.parametrize("data", [events(TEXTS), events(TEXTS) + END[:-3], ""])
def test_stream_without_end_marker_is_interrupted(data):
    with pytest.raises(RouterError) as caught:
        read_all(data)
    assert caught.value.code is ResultCode.STREAM_INTERRUPTED


@pytest.mark.parametrize(
    "event",
    [
        'data: {"i": 0, "t": "bad \\q escape"}\n\n',
        'data: {"i": 0, "t": "raw \x01 control"}\n\n',
        'data: {"i": -1, "t": "x"}\n\n',
        'data: {"i": 0, "t": 5}\n\n',
        'data: {"i": 0, "t": "a"}, {"i": 1}\n\n',
        "data: nonsense\n\n",
        END + 'data: {"i": 0, "t": "after the end"}\n\ndata: x\n\n',
        END + 'data: {"i": 0, "t": "after the end"}\n\n',
    ],
)
def test_malformed_event_is_an_engine_failure(event):
    with pytest.raises(RouterError) as caught:
        read_all(event + END, 10000)
    assert caught.value.code is ResultCode.ENGINE_FAILED


class SilentEngine:
    """Sends one token and then nothing more."""

    async def decode(self, request: web.Request) -> web.StreamResponse:
        response = web.StreamResponse(headers={"Content-Type": "text/event-stream"})
        await response.prepare(request)
        await response.write(b'data: {"i": 0, "t": "a"}\n\n')
        await asyncio.Event().wait()
        return response


def test_idle_timeout_ends_silent_engine_but_ignores_slow_caller():
    async def scenario() -> list[str]:
        app = web.Application()
        app.router.add_post("/v1/decode", SilentEngine().decode)
        received: list[str] = []
        async with TestServer(app) as server, aiohttp.ClientSession() as session:
            client = HttpEngineClient(session, idle_timeout_s=0.05)
            url = str(server.make_url("")).rstrip("/")
            with pytest.raises(RouterError) as caught:
                async for batch in client.decode(url, "h.1.1", 5, 0):
                    # The caller takes longer than the idle timeout.
                    await asyncio.sleep(0.15)
                    received += [token.text for token in batch]
        assert caught.value.code is ResultCode.STREAM_INTERRUPTED
        return received

    assert asyncio.run(scenario()) == ["a"]
