"""The HTTP server that the fakes of the platform share."""

from aiohttp import web

from kumquat_core.settings import Address

__all__ = ["FakeServer"]


class FakeServer:
    """An HTTP server on a free loopback port."""

    def __init__(self) -> None:
        self.address = Address("127.0.0.1", 0)

    async def start(self) -> None:
        self._server = web.Server(
            self.handle, handler_cancellation=True, auto_decompress=False
        )
        self._runner = web.ServerRunner(self._server, shutdown_timeout=0.1)
        await self._runner.setup()
        site = web.TCPSite(self._runner, "127.0.0.1", self.address.port)
        await site.start()
        port = self._runner.addresses[0][1]
        self.address = Address("127.0.0.1", port)

    async def stop(self) -> None:
        await self._runner.cleanup()

    def abort_connections(self) -> None:
        """Close all connections at once, as a process that is killed does."""
        for connection in list(self._server.connections):
            if connection.transport is not None:
                connection.transport.abort()

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        raise NotImplementedError
