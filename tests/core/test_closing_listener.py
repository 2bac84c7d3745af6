"""Guards against callers that get nothing when a listener closes."""

import asyncio
import socket
from collections.abc import Callable

import pytest
import uvloop
from aiohttp import web

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
