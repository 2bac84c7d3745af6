"""Readiness for the balancer and metrics for the operators."""

from collections.abc import Callable

import aiomisc
from aiohttp import web
from prometheus_client import CONTENT_TYPE_LATEST

from kumquat_core.settings import Address

__all__ = ["MetricsServer", "ReadinessServer"]

KEEPALIVE_S = 10.0


class _SmallServer(aiomisc.Service):
    """An HTTP server with one answer."""

    def __init__(self, listen: Address) -> None:
        super().__init__()
        self._listen = listen
        self._runner: web.ServerRunner | None = None

    async def start(self) -> None:
        """Start listening."""
        server = web.Server(
            self._answer, access_log=None, keepalive_timeout=KEEPALIVE_S
        )
        self._runner = web.ServerRunner(server, shutdown_timeout=0.1)
        await self._runner.setup()
        await web.TCPSite(self._runner, self._listen.ip, self._listen.port).start()

    async def stop(self, exception: Exception | None = None) -> None:
        """Stop listening."""
        if self._runner is not None:
            await self._runner.cleanup()

    async def _answer(self, http_request: web.BaseRequest) -> web.StreamResponse:
        raise NotImplementedError


class ReadinessServer(_SmallServer):
    """Answers 200 while the host takes new callers, else 503."""

    def __init__(self, listen: Address, is_ready: Callable[[], bool]) -> None:
        super().__init__(listen)
        self._is_ready = is_ready

    async def _answer(self, http_request: web.BaseRequest) -> web.StreamResponse:
        ready = self._is_ready()
        return web.Response(
            status=200 if ready else 503, text="ready\n" if ready else "not ready\n"
        )


class MetricsServer(_SmallServer):
    """Answers with the metrics as text."""

    def __init__(self, listen: Address, text: Callable[[], bytes]) -> None:
        super().__init__(listen)
        self._text = text

    async def _answer(self, http_request: web.BaseRequest) -> web.StreamResponse:
        return web.Response(
            body=self._text(), headers={"Content-Type": CONTENT_TYPE_LATEST}
        )
