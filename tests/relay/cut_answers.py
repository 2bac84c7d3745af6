"""A proxy that ends the answers of any HTTP/1.1 server after a given byte.

Load pattern: a server stops in the middle of the head or the body of its
answer, and its connection is closed, reset or falls silent.
"""

import asyncio
import re
import socket
import struct
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass
from enum import Enum

from kumquat_core.settings import Address

from .fakes import FakeEngine
from .relay_harness import RelayHarness

__all__ = ["Answer", "Cut", "CutEnd", "CuttingProxy", "cutting_engines"]

READ_BYTES = 65536
HEAD_END = b"\r\n\r\n"
# A reset discards what its peer has not yet received.
ARRIVAL_S = 0.01
_VERSION = re.compile(rb" HTTP/1\.1\r\n")


class CutEnd(Enum):
    """What follows the last byte of a cut answer."""

    CLOSE = "close"
    RESET = "reset"
    SILENCE = "silence"


@dataclass(frozen=True)
class Answer:
    """An answer whose head has arrived, the ``number``-th of a connection."""

    request: bytes
    head: bytes
    number: int

    @property
    def status(self) -> int:
        """Return the status of the answer."""
        return int(self.head.split(b" ", 2)[1])

    @property
    def call(self) -> str:
        """Return the path of a control call, "prefill", "resumed" or "run"."""
        target = self.request.split(b" ")[1].decode()
        if target.startswith("/api/"):
            return target
        head = self.request.lower()
        if b"\r\nx-stage: prefill" in head:
            return "prefill"
        return "resumed" if b"\r\nlast-event-id:" in head else "run"


@dataclass(frozen=True)
class Cut:
    """Forwards ``length`` bytes of an answer, then ends it."""

    length: int
    end: CutEnd


class CuttingProxy:
    """Forwards connections to a server and cuts answers as ``plan`` says.

    With ``unframed``, the server is asked as by a caller of HTTP/1.0, so that
    its streams have no chunks and end with their connection.
    """

    def __init__(
        self,
        server: Address,
        plan: Callable[[Answer], Cut | None],
        *,
        unframed: bool = False,
    ) -> None:
        self._server_address = server
        self._plan = plan
        self._unframed = unframed
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> None:
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        port = self._server.sockets[0].getsockname()[1]
        self.address = Address("127.0.0.1", port)

    async def stop(self) -> None:
        self._server.close()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        address = self._server_address
        try:
            streams = await asyncio.open_connection(address.ip, address.port)
            try:
                await self._forward(reader, writer, *streams)
            finally:
                streams[1].transport.abort()
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()
            self._tasks.discard(task)

    async def _forward(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        server_reader: asyncio.StreamReader,
        server_writer: asyncio.StreamWriter,
    ) -> None:
        """Forward exchanges until either side closes or an answer is cut."""
        reads = {
            asyncio.ensure_future(source.read(READ_BYTES)): source
            for source in (reader, server_reader)
        }
        exchange = _Exchange()
        number = 0
        try:
            while not exchange.ended:
                done, _ = await asyncio.wait(reads, return_when=asyncio.FIRST_COMPLETED)
                for task in done:
                    source = reads.pop(task)
                    data = task.result()
                    if not data:
                        if source is reader or not exchange.silent:
                            return
                        continue
                    reads[asyncio.ensure_future(source.read(READ_BYTES))] = source
                    if source is reader:
                        if exchange.answer:
                            exchange = _Exchange()
                        if self._unframed and not exchange.request:
                            data = _VERSION.sub(b" HTTP/1.0\r\n", data, count=1)
                        exchange.request += data
                        server_writer.write(data)
                        continue
                    number += not exchange.answer
                    writer.write(self._pass_on(exchange, data, number))
            if exchange.resets:
                await asyncio.sleep(ARRIVAL_S)
                sock = writer.get_extra_info("socket")
                linger = struct.pack("ii", 1, 0)
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
                writer.transport.abort()
        finally:
            for task in reads:
                task.cancel()
            await asyncio.gather(*reads, return_exceptions=True)

    def _pass_on(self, exchange: "_Exchange", data: bytes, number: int) -> bytes:
        """Add bytes of an answer; return those to forward now.

        Nothing is forwarded until the head is complete.
        """
        had_head = HEAD_END in exchange.answer
        exchange.answer += data
        if HEAD_END not in exchange.answer:
            return b""
        if not had_head:
            head = exchange.answer.partition(HEAD_END)[0] + HEAD_END
            exchange.cut = self._plan(Answer(exchange.request, head, number))
        end = len(exchange.answer)
        if exchange.cut is not None:
            end = min(end, exchange.cut.length)
        passed = exchange.answer[exchange.sent : end]
        exchange.sent = end
        return passed


@dataclass
class _Exchange:
    """A request, its answer and how much of it was forwarded."""

    request: bytes = b""
    answer: bytes = b""
    sent: int = 0
    cut: Cut | None = None

    @property
    def _is_cut(self) -> bool:
        return self.cut is not None and len(self.answer) >= self.cut.length

    @property
    def ended(self) -> bool:
        """Tell whether the connection ends here."""
        return self._is_cut and not self.silent

    @property
    def silent(self) -> bool:
        """Tell whether nothing more is forwarded to the caller."""
        cut = self.cut
        return self._is_cut and cut is not None and cut.end is CutEnd.SILENCE

    @property
    def resets(self) -> bool:
        """Tell whether the connection ends with a reset."""
        return self.cut is not None and self.cut.end is CutEnd.RESET


@asynccontextmanager
async def cutting_engines(
    harness: RelayHarness,
    engines: list[FakeEngine],
    plan: Callable[[Answer], Cut | None],
    *,
    unframed: bool = False,
) -> AsyncIterator[None]:
    """List engines with the addresses of proxies that cut their answers."""
    proxies = []
    for engine in engines:
        proxy = CuttingProxy(engine.address, plan, unframed=unframed)
        await proxy.start()
        proxies.append(proxy)
        engine.advertised_address = proxy.address
        engine.born_ms += 1
        harness.list_engine(engine)
    registry = harness.host._parts.cluster_state.registry

    def is_listed(engine: FakeEngine) -> bool:
        entry = registry.get(engine.id)
        return entry is not None and entry.address == engine.advertised_address

    try:
        await harness.wait_until(lambda: all(map(is_listed, engines)))
        yield
    finally:
        for proxy in proxies:
            await proxy.stop()
