"""A host process with stated memory, a plain server and a fake store."""

import asyncio
import fcntl
import json
import os
import tempfile
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path

import aiohttp
from aiohttp import web

from kumquat_core.settings import Address
from soak.host_process import HostProcess

from .fakes import FakeEngine, FakeStore
from .free_ports import free_port
from .raw_caller import request_bytes
from .relay_harness import PLAIN, configuration

__all__ = ["BoundedHost", "bounded_host"]

START_S = 20.0
ANSWER_S = 30.0
RETRY_S = 0.2
# The state of a listening socket in /proc/net/tcp, where the second queue is
# that of connections.
LISTENING = "0A"
# Errors of callers are logged with the level info.
ERROR_MARKS = ("Traceback", "Fatal error", "Unhandled", "level=error", "request_failed")


class LargeBodyServer(FakeEngine):
    """A plain server that reads bodies of any size and keeps none."""

    response_bytes = 0

    def __init__(self, engine_id: str) -> None:
        super().__init__(engine_id)
        self.paths: set[str] = set()

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answer once the body was read and ``processing_s`` has passed."""
        self.paths.add(request.path.rpartition("/")[2])
        size = 0
        async for part in request.content.iter_any():
            size += len(part)
        await asyncio.sleep(self.processing_s)
        body = str(size).encode().ljust(self.response_bytes)
        headers = {"X-Request-Id": request.headers["X-Request-Id"]}
        return web.Response(body=body, headers=headers)


class BoundedHost:
    """The process of a host, and what it uses.

    Callers send to ``path`` followed by a name, with ``extra_headers``.
    """

    path = "/once/"
    extra_headers = ""

    def __init__(self, process: HostProcess, server: LargeBodyServer) -> None:
        self.process = process
        self.server = server
        self.base_mb = 0.0

    @property
    def callers(self) -> Address:
        """Return the address for callers."""
        return self.process.callers

    @property
    def _proc(self) -> Path:
        assert self.process._process is not None
        return Path(f"/proc/{self.process._process.pid}")

    def private_mb(self) -> float:
        """Return the memory of the process without its mapped files."""
        for line in (self._proc / "status").read_text().splitlines():
            if line.startswith("RssAnon"):
                return int(line.split()[1]) / 1024
        raise RuntimeError("the kernel does not report the memory of a process")

    def descriptors(self) -> int:
        """Return how many descriptors the process has open."""
        return len(os.listdir(self._proc / "fd"))

    def unread_mb(self) -> float:
        """Return what connections of callers have received, not yet read."""
        local = f":{self.callers.port:04X}"
        unread = 0
        for line in Path("/proc/net/tcp").read_text().splitlines()[1:]:
            _, address, _, state, queues, *_ = line.split()
            if address.endswith(local) and state != LISTENING:
                unread += int(queues.partition(":")[2], 16)
        return unread / 1024 / 1024

    def errors(self) -> list[str]:
        """Return the lines of the log that tell of an error of the host."""
        lines = self._log.read_text(errors="replace").splitlines()
        return [line for line in lines if any(mark in line for mark in ERROR_MARKS)]

    @property
    def _log(self) -> Path:
        return self.process._log

    async def answer(self, body: bytes = b"body", deadline_ms: int = 2500) -> bytes:
        """Send requests until one gets its response; return its body."""
        async with asyncio.timeout(ANSWER_S):
            for number in range(1000):
                request = request_bytes("once", f"usual-{number}", deadline_ms, body)
                try:
                    received = await self._exchange(request)
                except (OSError, asyncio.IncompleteReadError):
                    received = b""
                if received.startswith(b"HTTP/1.1 200"):
                    return received.partition(b"\r\n\r\n")[2]
                await asyncio.sleep(RETRY_S)
        raise AssertionError("no request was answered")

    async def _exchange(self, request: bytes) -> bytes:
        reader, writer = await asyncio.open_connection(
            self.callers.ip, self.callers.port
        )
        try:
            head, _, body = request.partition(b"\r\n\r\n")
            writer.write(head + b"\r\nConnection: close\r\n\r\n" + body)
            return await reader.read()
        finally:
            writer.close()


@asynccontextmanager
async def bounded_host(
    folder: Path, max_body_bytes: int, **settings: int
) -> AsyncIterator[BoundedHost]:
    """Run a host with further settings; only one such host runs at a time."""
    with (Path(tempfile.gettempdir()) / "kumquat_bounded_host.lock").open("w") as lock:
        await asyncio.to_thread(fcntl.flock, lock, fcntl.LOCK_EX)
        store, server = FakeStore(), LargeBodyServer("plain0")
        await store.start()
        await server.start()
        limits = configuration()["limits"] | {"max_body_bytes": max_body_bytes}
        store.put("op", "config", configuration(limits=limits))
        store.put("servers", server.id, server.entry(PLAIN))
        ports = [free_port() for _ in range(4)]
        process = HostProcess("h1", folder, store.address, ports)
        process._document |= settings
        process._settings.write_text(json.dumps(process._document))
        await process.start()
        try:
            await _wait_until_ready(process)
            host = BoundedHost(process, server)
            await host.answer()
            host.base_mb = host.private_mb()
            yield host
        finally:
            assert process._process is not None
            if process._process.returncode is None:
                process._process.kill()
            await process._process.wait()
            await server.stop()
            await store.stop()


async def _wait_until_ready(process: HostProcess) -> None:
    async with asyncio.timeout(START_S), aiohttp.ClientSession() as session:
        while True:
            try:
                async with session.get(f"http://{process.readiness.text}/") as response:
                    if response.status == 200:
                        return
            except aiohttp.ClientError:
                pass
            await asyncio.sleep(0.05)
