"""Streams to other entry hosts: one task for each peer.

A link is opened when the first message is sent. Calls are matched to their
replies by correlation id. When the stream ends, all open calls fail with
``PEER_CLOSED`` at once, and the next call opens a new stream.
"""

import asyncio
import itertools
import logging
from collections.abc import Callable

from kumquat_core.frames import (
    LENGTH_BYTES,
    PeerIdentity,
    handshake,
    read_frame,
    write_frame,
)
from kumquat_core.log_events import log_event
from kumquat_core.peer_messages import Envelope, Message, decode, encode
from kumquat_core.result_codes import ResultCode, RouterError
from kumquat_core.settings import Address

__all__ = ["PeerLinks"]

CONNECT_TIMEOUT_S = 1.0

CountBytes = Callable[[str, int], None]

logger = logging.getLogger(__name__)


class _PeerLink:
    """The stream to one peer."""

    def __init__(
        self,
        host_id: str,
        address: Address,
        identity: PeerIdentity,
        key: bytes,
        count_bytes: CountBytes,
    ) -> None:
        self._count_bytes = count_bytes
        self._host_id = host_id
        self._address = address
        self._identity = identity
        self._key = key
        self._correlation_ids = itertools.count(1)
        self._replies_by_id: dict[int, asyncio.Future[Message]] = {}
        self._writer: asyncio.StreamWriter | None = None
        self._task: asyncio.Task[None] | None = None
        self._lock = asyncio.Lock()

    async def call(self, message: Message, timeout_s: float) -> Message:
        """Send a message and return its reply."""
        correlation_id = next(self._correlation_ids)
        reply: asyncio.Future[Message] = asyncio.get_running_loop().create_future()
        writer = await self._connected()
        self._replies_by_id[correlation_id] = reply
        try:
            self._write(writer, Envelope(correlation_id, message))
            async with asyncio.timeout(timeout_s):
                return await reply
        except TimeoutError as error:
            detail = f"no reply from {self._host_id}"
            raise RouterError(ResultCode.PEER_CLOSED, detail) from error
        finally:
            self._replies_by_id.pop(correlation_id, None)

    async def send(self, message: Message) -> None:
        """Send a message that has no reply."""
        writer = await self._connected()
        self._write(writer, Envelope(0, message))

    def _write(self, writer: asyncio.StreamWriter, envelope: Envelope) -> None:
        data = encode(envelope)
        self._count_bytes("out", len(data) + LENGTH_BYTES)
        write_frame(writer, data)

    async def close(self) -> None:
        """Close the stream; open calls fail."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)

    async def _connected(self) -> asyncio.StreamWriter:
        async with self._lock:
            if self._writer is None:
                await self._connect()
            if self._writer is None:
                raise RouterError(ResultCode.PEER_CLOSED, self._host_id)
            return self._writer

    async def _connect(self) -> None:
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                reader, writer = await asyncio.open_connection(
                    self._address.ip, self._address.port
                )
        except (OSError, TimeoutError) as error:
            raise RouterError(ResultCode.PEER_CLOSED, self._host_id) from error
        try:
            peer = await handshake(
                reader, writer, self._identity, self._key, initiator=True
            )
            if peer.host_id != self._host_id:
                raise RouterError(ResultCode.PEER_AUTHENTICATION, "other host id")
        except RouterError:
            writer.close()
            raise
        self._writer = writer
        self._task = asyncio.create_task(self._read_replies(reader, writer))

    async def _read_replies(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while True:
                data = await read_frame(reader)
                self._count_bytes("in", len(data) + LENGTH_BYTES)
                envelope = decode(data)
                reply = self._replies_by_id.get(envelope.correlation_id)
                if reply is not None and not reply.done():
                    reply.set_result(envelope.message)
        except RouterError as error:
            log_event(
                logger, "peer_link_closed", peer=self._host_id, code=error.code.value
            )
        finally:
            self._writer = None
            writer.close()
            self._fail_calls()

    def _fail_calls(self) -> None:
        for reply in self._replies_by_id.values():
            if not reply.done():
                error = RouterError(ResultCode.PEER_CLOSED, self._host_id)
                reply.set_exception(error)


class PeerLinks:
    """Links to all peers, opened on demand."""

    def __init__(
        self,
        identity: PeerIdentity,
        key: bytes,
        address_of: Callable[[str], Address | None],
        count_bytes: CountBytes = lambda direction, count: None,
    ) -> None:
        self._count_bytes = count_bytes
        self._identity = identity
        self._key = key
        self._address_of = address_of
        self._links_by_address: dict[tuple[str, Address], _PeerLink] = {}

    async def call(self, host_id: str, message: Message, timeout_s: float) -> Message:
        """Send a message to a host and return its reply.

        Raises ``RouterError`` with ``PEER_CLOSED`` when the host cannot be
        reached or does not reply within ``timeout_s`` seconds.
        """
        return await self._link(host_id).call(message, timeout_s)

    async def send(self, host_id: str, message: Message) -> None:
        """Send a message that has no reply."""
        await self._link(host_id).send(message)

    async def close(self) -> None:
        """Close all links."""
        for link in self._links_by_address.values():
            await link.close()

    def _link(self, host_id: str) -> _PeerLink:
        address = self._address_of(host_id)
        if address is None:
            raise RouterError(ResultCode.PEER_CLOSED, f"unknown host {host_id}")
        key = (host_id, address)
        if key not in self._links_by_address:
            link = _PeerLink(
                host_id, address, self._identity, self._key, self._count_bytes
            )
            self._links_by_address[key] = link
        return self._links_by_address[key]
