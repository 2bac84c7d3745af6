"""Guards against an answer that the close of an idle connection destroys."""

import asyncio
import contextlib
import socket

from aiohttp import web

from kumquat_core.server_connections import ServerConnections

BODY = b"0123456789" * 20_000
REQUEST = b"GET / HTTP/1.1\r\nHost: a\r\n\r\n"


async def _answer(_: web.BaseRequest) -> web.Response:
    return web.Response(body=BODY)


def test_an_answer_in_the_kernel_survives_bytes_that_arrive_after_the_close() -> None:
    """The answer was still in the send queue of the kernel."""

    async def scenario() -> None:
        loop = asyncio.get_running_loop()
        server = web.Server(_answer, access_log=None)
        connections = ServerConnections(server, b"HTTP/1.1 503 X\r\n\r\n")
        listening = socket.socket()
        listening.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 1_000_000)
        listening.bind(("127.0.0.1", 0))
        listener = await loop.create_server(connections.create, sock=listening)
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        sock.setblocking(False)
        await loop.sock_connect(sock, listening.getsockname())
        await loop.sock_sendall(sock, REQUEST)
        await asyncio.sleep(0.2)
        (connection,) = connections._connections_by_handler.values()
        assert connection.transport.get_write_buffer_size() == 0
        listener.close()
        close = asyncio.ensure_future(connections.close(5.0))
        await asyncio.sleep(0.1)
        with contextlib.suppress(ConnectionError):
            await loop.sock_sendall(sock, REQUEST)
        received = b""
        while len(received) < len(BODY):
            data = await loop.sock_recv(sock, 65536)
            if not data:
                break
            received += data
        assert received.endswith(BODY)
        await close
        sock.close()

    asyncio.run(scenario())
