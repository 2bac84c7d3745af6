"""An HTTP server on a free loopback port, and free ports for others."""

import socket

from aiohttp import web

__all__ = ["LOOPBACK", "Server", "free_port"]

LOOPBACK = "127.0.0.1"


def free_port() -> int:
    """Return a port that nothing listens at."""
    with socket.socket() as sock:
        sock.bind((LOOPBACK, 0))
        port: int = sock.getsockname()[1]
        return port


class Server:
    """Serves HTTP/1.1; a request is cancelled when its connection closes."""

    def __init__(self) -> None:
        self.port = 0

    @property
    def address(self) -> str:
        """Return the address as IP:PORT."""
        return f"{LOOPBACK}:{self.port}"

    async def start(self) -> None:
        """Start to accept connections."""
        server = web.Server(
            self.handle, handler_cancellation=True, auto_decompress=False
        )
        self._runner = web.ServerRunner(server, shutdown_timeout=0.1)
        await self._runner.setup()
        await web.TCPSite(self._runner, LOOPBACK, self.port).start()
        self.port = self._runner.addresses[0][1]

    async def stop(self) -> None:
        """Close all connections."""
        await self._runner.cleanup()

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answer a request."""
        raise NotImplementedError
