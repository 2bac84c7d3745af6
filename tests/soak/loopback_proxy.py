"""A TCP proxy on the loopback interface that injects network faults."""

import asyncio
from enum import Enum

from tests.relay.scripted_peer import reset_connection

from kumquat_core.settings import Address

__all__ = ["LinkState", "LoopbackProxy"]

CHUNK_BYTES = 65536
STATE_POLL_S = 0.02


class LinkState(Enum):
    """How a proxy treats its connections."""

    OPEN = "open"
    DELAYED = "delayed"
    # Data in one or both directions is held back until the state changes.
    NO_ANSWERS = "no_answers"
    NO_REQUESTS = "no_requests"
    SILENT = "silent"
    # New connections are reset.
    REFUSING = "refusing"


_BLOCKED_DIRECTIONS = {
    LinkState.NO_ANSWERS: ("answers",),
    LinkState.NO_REQUESTS: ("requests",),
    LinkState.SILENT: ("requests", "answers"),
}


class LoopbackProxy:
    """Forwards connections to a target; ``state`` may change at any time."""

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
        self._server = await asyncio.start_server(
            self._handle_connection, "127.0.0.1", 0
        )
        port = self._server.sockets[0].getsockname()[1]
        self.address = Address("127.0.0.1", port)

    async def stop(self) -> None:
        """Stop listening and close all connections."""
        if self._server is not None:
            self._server.close()
        self.reset()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def reset(self) -> None:
        """Reset all open connections."""
        for writer in list(self._writers):
            _reset(writer)

    async def _handle_connection(
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
            await self._forward_connection(reader, writer)
        except OSError:
            # The target or client has disconnected.
            _reset(writer)
        except asyncio.CancelledError:
            # Only stop() cancels; asyncio would log this as an error.
            pass
        finally:
            self._writers.discard(writer)
            writer.transport.abort()

    async def _forward_connection(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        target_reader, target_writer = await asyncio.open_connection(
            self.target.ip, self.target.port
        )
        self._writers.add(target_writer)
        try:
            async with asyncio.TaskGroup() as group:
                group.create_task(
                    self._forward_direction(reader, target_writer, "requests")
                )
                group.create_task(
                    self._forward_direction(target_reader, writer, "answers")
                )
        except* OSError:
            # Without chunks only a reset shows that an answer is incomplete.
            _reset(writer)
            _reset(target_writer)
        finally:
            self._writers.discard(target_writer)
            target_writer.transport.abort()

    async def _forward_direction(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, direction: str
    ) -> None:
        """Forward data until its end; hold it back while the state says so."""
        while data := await reader.read(CHUNK_BYTES):
            if self.state is LinkState.DELAYED:
                await asyncio.sleep(self._delay_s)
            while direction in _BLOCKED_DIRECTIONS.get(self.state, ()):
                await asyncio.sleep(STATE_POLL_S)
            writer.write(data)
            await writer.drain()
        if writer.can_write_eof():
            writer.write_eof()


def _reset(writer: asyncio.StreamWriter) -> None:
    """Reset a connection that is not being closed yet."""
    if not writer.transport.is_closing():
        reset_connection(writer)
