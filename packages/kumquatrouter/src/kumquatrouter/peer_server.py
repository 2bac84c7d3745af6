"""Accepts streams from other entry hosts: one task for each connection.

Each call is handled in a separate task, because an admission may wait in the
queue. A malformed frame, or one of another protocol, ends only its own
connection, with a result code. A malformed message is left out, and its sender
is told so; the first one of a connection is logged. The number of calls in
progress of one connection is limited; at the limit nothing more is read from
it, so that a peer that does not read its replies uses no further memory.
"""

import asyncio
import logging
from collections.abc import Awaitable, Callable

import aiomisc

from kumquat_core.frames import (
    LENGTH_BYTES,
    PeerIdentity,
    handshake,
    read_frame,
    write_frame,
)
from kumquat_core.log_events import log_event
from kumquat_core.peer_messages import (
    Envelope,
    MalformedMessageError,
    Message,
    NotUnderstood,
    decode,
    encode,
)
from kumquat_core.result_codes import ResultCode, RouterError
from kumquat_core.settings import Address
from kumquat_core.task_errors import describe_error, log_task_error

from .odd_messages import OddMessages

__all__ = ["PeerHandler", "PeerServer"]

CountBytes = Callable[[str, int], None]
PeerHandler = Callable[[PeerIdentity, Message], Awaitable[Message | None]]

# At the target size, the owner of an overloaded shard has a few hundred queued
# requests of one host.
MAX_CALLS_PER_CONNECTION = 1024
REPLY_TIMEOUT_S = 10.0

logger = logging.getLogger(__name__)


class PeerServer(aiomisc.Service):
    """Listens for peers and passes their messages to a handler.

    ``count_odd`` is called for each malformed message, and ``on_other_key``
    after a peer has failed to prove that it has the shared key.
    """

    def __init__(
        self,
        listen: Address,
        identity: PeerIdentity,
        key: bytes,
        handler: PeerHandler,
        count_bytes: CountBytes = lambda direction, count: None,
        count_odd: Callable[[], None] = lambda: None,
        on_other_key: Callable[[], None] = lambda: None,
    ) -> None:
        super().__init__()
        self._on_other_key = on_other_key
        self._count_odd = count_odd
        self._count_bytes = count_bytes
        self._listen = listen
        self._identity = identity
        self._key = key
        self._handler = handler
        self._server: asyncio.Server | None = None
        self._connections: set[asyncio.Task[None]] = set()

    async def start(self) -> None:
        """Start listening."""
        self._server = await asyncio.start_server(
            self._on_connection, self._listen.ip, self._listen.port
        )

    async def stop(self, exception: Exception | None = None) -> None:
        """Stop listening and close all connections."""
        if self._server is not None:
            self._server.close()
        for task in list(self._connections):
            task.cancel()
        await asyncio.gather(*self._connections, return_exceptions=True)

    async def _on_connection(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._connections.add(task)
        try:
            await self._serve(reader, writer)
        except asyncio.CancelledError:
            pass
        finally:
            self._connections.discard(task)
            writer.close()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Authenticate a peer and handle its calls until the stream ends."""
        calls: set[asyncio.Task[None]] = set()
        call_permits = asyncio.Semaphore(MAX_CALLS_PER_CONNECTION)

        def on_call_done(call: "asyncio.Task[None]") -> None:
            calls.discard(call)
            call_permits.release()
            log_task_error(call)

        try:
            peer = await handshake(
                reader, writer, self._identity, self._key, initiator=False
            )
            odd = OddMessages(peer.host_id, self._count_odd)
            while True:
                await call_permits.acquire()
                data = await read_frame(reader)
                self._count_bytes("in", len(data) + LENGTH_BYTES)
                call = asyncio.create_task(self._receive(peer, data, writer, odd))
                calls.add(call)
                call.add_done_callback(on_call_done)
        except RouterError as error:
            if error.code is ResultCode.PEER_AUTHENTICATION:
                self._on_other_key()
            log_event(
                logger,
                "peer_connection_closed",
                code=error.code.value,
                detail=error.detail,
            )
        finally:
            for call in calls:
                call.cancel()

    async def _receive(
        self,
        peer: PeerIdentity,
        data: bytes,
        writer: asyncio.StreamWriter,
        odd: OddMessages,
    ) -> None:
        """Handle a message, or tell its sender that it is malformed."""
        try:
            envelope = decode(data)
        except MalformedMessageError as error:
            odd.record(error.detail)
            await self._reply(error.correlation_id, NotUnderstood(), writer)
            return
        if envelope.left_out:
            odd.record_left_out(envelope)
        await self._handle(peer, envelope, writer)

    async def _handle(
        self, peer: PeerIdentity, envelope: Envelope, writer: asyncio.StreamWriter
    ) -> None:
        """Run the handler of one call and write its reply, if it has one."""
        try:
            reply = await self._handler(peer, envelope.message)
            await self._reply(envelope.correlation_id, reply, writer)
        except Exception as error:
            log_event(
                logger,
                "peer_call_failed",
                level=logging.ERROR,
                peer=peer.host_id,
                message=type(envelope.message).__name__,
                error=describe_error(error),
            )

    async def _reply(
        self, correlation_id: int, reply: Message | None, writer: asyncio.StreamWriter
    ) -> None:
        """Write a reply, if there is one and it is wanted."""
        if reply is None or correlation_id == 0:
            return
        data = encode(Envelope(correlation_id, reply))
        self._count_bytes("out", len(data) + LENGTH_BYTES)
        try:
            async with asyncio.timeout(REPLY_TIMEOUT_S):
                write_frame(writer, data)
                await writer.drain()
        except (OSError, TimeoutError):
            writer.transport.abort()
