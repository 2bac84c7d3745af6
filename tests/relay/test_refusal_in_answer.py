"""Guards against a refusal that is written within an answer at a stop."""

import asyncio
import contextlib
import socket
from collections.abc import Callable

import pytest
import uvloop
from aiohttp import web

from kumquat_core.clock import SystemClock
from kumquat_relay import caller_connection
from kumquat_relay.caller_connection import CallerConnection, CallerConnections
from kumquat_relay.limit_history import LimitHistory

PART = b"x" * 100_000


async def _answer_without_end(request: web.BaseRequest) -> web.StreamResponse:
    response = web.StreamResponse()
    await response.prepare(request)
    while True:
        await response.write(PART)


@pytest.mark.parametrize("new_loop", [asyncio.new_event_loop, uvloop.new_event_loop])
def test_no_refusal_is_written_within_an_answer(
    new_loop: Callable[[], asyncio.AbstractEventLoop],
    monkeypatch: pytest.MonkeyPatch,
    caplog: pytest.LogCaptureFixture,
) -> None:
    """The caller had sent part of the next head, and read on after the host
    had taken it for gone."""
    monkeypatch.setattr(caller_connection, "UNREAD_S", 0.2)

    async def run() -> None:
        loop = asyncio.get_running_loop()
        limits = LimitHistory(SystemClock())
        server = CallerConnections(
            _answer_without_end, lambda: 30.0, limits, access_log=None
        )
        listener = await loop.create_server(server, "127.0.0.1", 0)
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        sock.connect(listener.sockets[0].getsockname())
        sock.sendall(b"GET / HTTP/1.1\r\nHost: a\r\n\r\nGET /next HT")
        while not server.connections:
            await asyncio.sleep(0.01)
        (connection,) = server.connections
        assert isinstance(connection, CallerConnection)
        while not connection._paused:
            await asyncio.sleep(0.01)
        close = asyncio.ensure_future(server.close_all())
        while not connection.closing:
            await asyncio.sleep(0.01)
        reader, writer = await asyncio.open_connection(sock=sock)
        data = b""
        with contextlib.suppress(ConnectionError):
            while part := await reader.read(1 << 16):
                data += part
        writer.close()
        await close
        listener.close()
        assert data.count(b"HTTP/1.1") == 1

    with caplog.at_level("INFO"), asyncio.Runner(loop_factory=new_loop) as runner:
        runner.run(run())
    # Does not depend on how much the caller reads before the close.
    assert "head_incomplete" not in caplog.text
