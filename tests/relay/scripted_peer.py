"""A scripted HTTP server on the loopback interface for connection tests."""

import asyncio
import socket
import struct
from collections.abc import Awaitable, Callable

from kumquat_core.settings import Address

Script = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]


def reset_connection(writer: asyncio.StreamWriter) -> None:
    """Close a connection with a TCP reset instead of a regular end."""
    reset_transport(writer.transport)


def reset_transport(transport: asyncio.WriteTransport) -> None:
    """Close the connection of a transport with a TCP reset."""
    sock = transport.get_extra_info("socket")
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    transport.abort()


class ScriptedPeer:
    """Accepts connections and runs a script on each."""

    def __init__(self, script: Script) -> None:
        self._script = script
        self.connections = 0

    async def __aenter__(self) -> "ScriptedPeer":
        self._server = await asyncio.start_server(self._on_connection, "127.0.0.1", 0)
        port = self._server.sockets[0].getsockname()[1]
        self.address = Address("127.0.0.1", port)
        return self

    async def __aexit__(self, *_: object) -> None:
        self._server.close()

    async def _on_connection(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.connections += 1
        try:
            await self._script(reader, writer)
        finally:
            writer.close()


def respond_with(*responses: bytes, then_reset: bool = False) -> Script:
    """Return a script that sends the given responses, one per request."""

    async def script(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        for response in responses:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(response)
            await writer.drain()
        if then_reset:
            await asyncio.sleep(0.01)
            reset_connection(writer)
            return
        await reader.read()

    return script
