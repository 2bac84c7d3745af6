"""A TCP proxy on loopback that delays, cuts, resets or silences its links."""

import asyncio
from enum import Enum

from kumquat_core.settings import Address

__all__ = ["LinkState", "LoopbackProxy"]

CHUNK_BYTES = 65536
POLL_S = 0.02


class LinkState(Enum):
    """What the links through a proxy do."""

    OPEN = "open"
    DELAYED = "delayed"
    # Bytes are held up in one or both directions until the link is open.
    NO_ANSWERS = "no_answers"
    NO_REQUESTS = "no_requests"
    SILENT = "silent"
    # New connections are reset.
    REFUSING = "refusing"


_HELD = {
    LinkState.NO_ANSWERS: ("answers",),
    LinkState.NO_REQUESTS: ("requests",),
    LinkState.SILENT: ("requests", "answers"),
}


class LoopbackProxy:
    """Forwards connections to one target; ``state`` may change at any time."""

    def __init__(self, target: Address, delay_s: float = 0.1) -> None:
        self.target = target
        self.address = Address("127.0.0.1", 0)
        self.state = LinkState.OPEN
        self._delay_s = delay_s
        self._writers: set[asyncio.StreamWriter] = set()
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._accept, "127.0.0.1", 0)
        port = self._server.sockets[0].getsockname()[1]
        self.address = Address("127.0.0.1", port)

    async def stop(self) -> None:
        """Stop listening and close all links."""
        if self._server is not None:
            self._server.close()
        self.reset()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def reset(self) -> None:
        """Reset all open links."""
        for writer in list(self._writers):
            writer.transport.abort()

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        try:
            if self.state is LinkState.REFUSING:
                return
            await self._link(reader, writer)
        except OSError:
            # The target or the client is gone; both ends are closed below.
            pass
        except asyncio.CancelledError:
            # Only stop() cancels; the server would report it as an error.
            pass
        finally:
            self._writers.discard(writer)
            writer.transport.abort()

    async def _link(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        target_reader, target_writer = await asyncio.open_connection(
            self.target.ip, self.target.port
        )
        self._writers.add(target_writer)
        try:
            async with asyncio.TaskGroup() as group:
                group.create_task(self._pump(reader, target_writer, "requests"))
                group.create_task(self._pump(target_reader, writer, "answers"))
        except* OSError:
            pass
        finally:
            self._writers.discard(target_writer)
            target_writer.transport.abort()

    async def _pump(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, way: str
    ) -> None:
        while data := await reader.read(CHUNK_BYTES):
            if self.state is LinkState.DELAYED:
                await asyncio.sleep(self._delay_s)
            while way in _HELD.get(self.state, ()):
                await asyncio.sleep(POLL_S)
            writer.write(data)
            await writer.drain()
        if writer.can_write_eof():
            writer.write_eof()
