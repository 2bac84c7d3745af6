"""Guards against callers that get nothing when a listener closes."""

import asyncio
import errno
import logging
import socket
from collections.abc import Callable

import pytest
import uvloop
from aiohttp import web

from kumquat_core import closing_listener
from kumquat_core.closing_listener import close_listener


async def _answer(_: web.BaseRequest) -> web.Response:
    return web.Response(body=b"ok")


@pytest.mark.parametrize("steps", range(4))
@pytest.mark.parametrize("new_loop", [asyncio.new_event_loop, uvloop.new_event_loop])
def test_connections_that_the_loop_has_accepted_are_answered(
    new_loop: Callable[[], asyncio.AbstractEventLoop], steps: int
) -> None:
    """asyncio creates their transports a step later, which fails silently once
    the server is closed: their callers got no answer and no close."""

    async def run() -> None:
        loop = asyncio.get_running_loop()
        server = web.Server(_answer, access_log=None)
        listener = await loop.create_server(server, "127.0.0.1", 0)
        address = listener.sockets[0].getsockname()
        socks = [socket.create_connection(address) for _ in range(5)]
        for _ in range(steps):
            await asyncio.sleep(0)
        await close_listener(listener, server)
        for sock in socks:
            sock.sendall(b"GET / HTTP/1.1\r\nHost: a\r\n\r\n")
            reader, writer = await asyncio.open_connection(sock=sock)
            async with asyncio.timeout(10):
                assert await reader.read(12) == b"HTTP/1.1 200"
            writer.close()
        await server.shutdown()

    with asyncio.Runner(loop_factory=new_loop) as runner:
        runner.run(run())


class _NoDescriptorsListener:
    """A listener of a process that cannot have another descriptor."""

    def __enter__(self) -> "_NoDescriptorsListener":
        return self

    def __exit__(self, *_: object) -> None:
        pass

    def accept(self) -> None:
        raise OSError(errno.EMFILE, "too many open files")


def test_connections_that_cannot_be_accepted_are_logged(
    monkeypatch: pytest.MonkeyPatch, caplog: pytest.LogCaptureFixture
) -> None:
    """Guards against callers that are cut without a line in the log."""

    async def run() -> int:
        server = await asyncio.start_server(lambda *_: None, "127.0.0.1", 0)
        return await close_listener(server, asyncio.Protocol)

    monkeypatch.setattr(
        closing_listener, "_duplicate", lambda _: _NoDescriptorsListener()
    )
    with caplog.at_level(logging.WARNING):
        assert asyncio.run(run()) == 0
    assert [record.getMessage() for record in caplog.records] == [
        "held_connections_lost"
    ]
