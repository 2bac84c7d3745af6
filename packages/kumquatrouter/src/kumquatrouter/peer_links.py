"""Streams to other entry hosts: one task for each peer.

The task of a link connects when a message is queued, sends queued messages and
reads the replies, which are matched to calls by correlation id. A reply that
is malformed, or that tells that the peer could not decode the call, fails only
this call, with ``PEER_PROTOCOL``. When the stream ends, all open calls fail
with ``PEER_CLOSED`` at once. After a failed connection attempt, a link fails
further messages at once until its retry delay, which is exponential and
randomised, is over. The number of bytes queued for a slow or frozen peer is
limited; a message beyond the limit fails with ``PEER_CLOSED``.
"""

import asyncio
import itertools
import logging
import random
from collections import deque
from collections.abc import Callable

from kumquat_core.clock import Clock
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

__all__ = ["MAX_QUEUED_BYTES", "PeerLinks", "PeerRefusedError"]

CONNECT_TIMEOUT_S = 1.0
FIRST_RETRY_DELAY_S = 0.05
MAX_RETRY_DELAY_S = 2.0

# Only the queues of links to slow or frozen peers fill up, until those links
# are closed after MAX_UNANSWERED_S. When a failure domain of 15 hosts freezes,
# its queues hold 4 MB of the 32 MB permitted for control traffic.
MAX_QUEUED_BYTES = 256 * 1024

# TCP keeps a stream over a broken network path open for minutes. When nothing
# has arrived for this time after a call, the stream is replaced by a new one.
MAX_UNANSWERED_S = 1.0

CountBytes = Callable[[str, int], None]

logger = logging.getLogger(__name__)


class PeerRefusedError(RouterError):
    """A peer that was connected before now refuses connections.

    Nothing listens at its address any more, so its process has ended.
    """


class _PeerLink:
    """The stream to one peer at one address, with its queue and open calls."""

    def __init__(
        self,
        host_id: str,
        address: Address,
        identity: PeerIdentity,
        key: bytes,
        clock: Clock,
        rng: random.Random,
        on_link_closed: Callable[[str], None],
        count_bytes: CountBytes,
        count_odd: Callable[[], None],
        on_other_key: Callable[[], None],
    ) -> None:
        self.address = address
        self._on_other_key = on_other_key
        self._count_odd = count_odd
        self._count_bytes = count_bytes
        self._host_id = host_id
        self._identity = identity
        self._key = key
        self._clock = clock
        self._rng = rng
        self._on_link_closed = on_link_closed
        self._correlation_ids = itertools.count(1)
        self._replies_by_id: dict[int, asyncio.Future[Message]] = {}
        self._queue: deque[bytes] = deque()
        self._queued_bytes = 0
        self._queue_filled = asyncio.Event()
        self._was_connected = False
        self._failures = 0
        self._retry_at_s = 0.0
        self._unanswered_since_s: float | None = None
        self._task: asyncio.Task[None] | None = None

    async def call(self, message: Message, timeout_s: float) -> Message:
        """Send a message and return its reply.

        Raises ``PEER_CLOSED`` without a reply within ``timeout_s`` seconds.
        """
        correlation_id = next(self._correlation_ids)
        reply: asyncio.Future[Message] = asyncio.get_running_loop().create_future()
        self.send(Envelope(correlation_id, message))
        self._replies_by_id[correlation_id] = reply
        if self._unanswered_since_s is None:
            self._unanswered_since_s = self._clock.monotonic()
        try:
            async with asyncio.timeout(timeout_s):
                return await reply
        except TimeoutError as error:
            self._drop_if_unresponsive()
            raise self._error("no reply") from error
        finally:
            self._replies_by_id.pop(correlation_id, None)

    def send(self, envelope: Envelope) -> None:
        """Queue a message.

        Raises ``PEER_CLOSED`` during a retry delay or if the queue is full.
        """
        if self._clock.monotonic() < self._retry_at_s:
            raise self._error("not connected")
        data = encode(envelope)
        if self._queued_bytes + len(data) > MAX_QUEUED_BYTES:
            raise self._error("send queue is full")
        self._queue.append(data)
        self._queued_bytes += len(data)
        self._queue_filled.set()
        if self._task is None or self._task.done():
            self._task = asyncio.create_task(self._run())

    def drop(self) -> None:
        """Close the stream without waiting for its end; open calls fail."""
        if self._task is not None:
            self._task.cancel()

    async def close(self) -> None:
        """Close the stream and wait for its end; open calls fail."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)

    async def _run(self) -> None:
        """Connect and exchange messages until the stream ends."""
        error = self._error("link closed")
        try:
            reader, writer = await self._connect()
            await self._serve(reader, writer)
        except RouterError as cause:
            error = cause
        except Exception as cause:
            # The next attempt may fail in the same way.
            self._delay_retry()
            error = self._error(describe_error(cause))
        finally:
            self._fail_open_calls(error)
            log_event(
                logger,
                "peer_link_closed",
                peer=self._host_id,
                code=error.code.value,
                detail=error.detail,
            )
            self._on_link_closed(self._host_id)

    async def _connect(self) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        """Connect and authenticate; a failure starts a retry delay."""
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                reader, writer = await asyncio.open_connection(
                    self.address.ip, self.address.port
                )
        except (OSError, TimeoutError) as error:
            self._delay_retry()
            if isinstance(error, ConnectionRefusedError) and self._was_connected:
                raise PeerRefusedError(
                    ResultCode.PEER_CLOSED, f"{self._host_id}: refused"
                ) from error
            raise self._error("not connected") from error
        try:
            peer = await handshake(
                reader, writer, self._identity, self._key, initiator=True
            )
            if peer.host_id != self._host_id:
                raise RouterError(ResultCode.PEER_AUTHENTICATION, "other host id")
        except BaseException as error:
            self._delay_retry()
            code = error.code if isinstance(error, RouterError) else None
            if code is ResultCode.PEER_AUTHENTICATION:
                # A reset could reach the peer before it has read the proof, by
                # which it learns that the keys differ.
                writer.close()
                self._on_other_key()
            else:
                writer.transport.abort()
            raise
        self._failures = 0
        self._was_connected = True
        return reader, writer

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Send queued messages and read replies until the stream ends."""
        sender = asyncio.create_task(self._write(writer))
        sender.add_done_callback(log_task_error)
        odd = OddMessages(self._host_id, self._count_odd)
        try:
            while True:
                data = await read_frame(reader)
                self._count_bytes("in", len(data) + LENGTH_BYTES)
                self._unanswered_since_s = None
                self._receive(data, odd)
        finally:
            sender.cancel()
            writer.transport.abort()

    def _receive(self, data: bytes, odd: OddMessages) -> None:
        """Give a reply to the call that waits for it."""
        result: Message | RouterError
        try:
            envelope = decode(data)
        except MalformedMessageError as error:
            odd.record(error.detail)
            correlation_id, result = error.correlation_id, error
        else:
            correlation_id, result = envelope.correlation_id, envelope.message
            if envelope.left_out:
                odd.record_left_out(envelope)
        reply = self._replies_by_id.get(correlation_id)
        if reply is None or reply.done():
            return
        if isinstance(result, NotUnderstood):
            result = RouterError(ResultCode.PEER_PROTOCOL, "call not understood")
        if isinstance(result, RouterError):
            reply.set_exception(result)
        else:
            reply.set_result(result)

    async def _write(self, writer: asyncio.StreamWriter) -> None:
        """Send queued messages; ``_serve`` detects the end of the stream."""
        try:
            while True:
                await self._queue_filled.wait()
                while self._queue:
                    data = self._queue.popleft()
                    self._queued_bytes -= len(data)
                    self._count_bytes("out", len(data) + LENGTH_BYTES)
                    write_frame(writer, data)
                    await writer.drain()
                self._queue_filled.clear()
        except ConnectionError:
            writer.transport.abort()

    def _drop_if_unresponsive(self) -> None:
        """Close a stream on which no reply has arrived for too long."""
        if self._unanswered_since_s is None or self._task is None:
            return
        if self._clock.monotonic() - self._unanswered_since_s >= MAX_UNANSWERED_S:
            self._unanswered_since_s = None
            self._task.cancel()

    def _delay_retry(self) -> None:
        """Set the time of the next connection attempt; the delay grows."""
        self._failures += 1
        exponent = min(self._failures - 1, 10)
        delay_s = min(MAX_RETRY_DELAY_S, FIRST_RETRY_DELAY_S * 2**exponent)
        delay_s *= self._rng.uniform(0.5, 1.0)
        self._retry_at_s = self._clock.monotonic() + delay_s

    def _fail_open_calls(self, error: RouterError) -> None:
        """Discard queued messages and fail all calls that wait for a reply."""
        self._queue.clear()
        self._queued_bytes = 0
        self._queue_filled.clear()
        for reply in self._replies_by_id.values():
            if not reply.done():
                reply.set_exception(error)

    def _error(self, reason: str) -> RouterError:
        return RouterError(ResultCode.PEER_CLOSED, f"{self._host_id}: {reason}")


class PeerLinks:
    """Links to all peers, each opened when it is first used.

    ``on_link_closed`` is called with the host id each time a stream ends.
    """

    def __init__(
        self,
        identity: PeerIdentity,
        key: bytes,
        address_of: Callable[[str], Address | None],
        clock: Clock,
        rng: random.Random,
        on_link_closed: Callable[[str], None] = lambda host_id: None,
        count_bytes: CountBytes = lambda direction, count: None,
        count_odd: Callable[[], None] = lambda: None,
        on_other_key: Callable[[], None] = lambda: None,
    ) -> None:
        self._on_other_key = on_other_key
        self._count_bytes = count_bytes
        self._count_odd = count_odd
        self._identity = identity
        self._key = key
        self._address_of = address_of
        self._clock = clock
        self._rng = rng
        self._on_link_closed = on_link_closed
        self._links_by_host_id: dict[str, _PeerLink] = {}
        self._closing: set[asyncio.Task[None]] = set()

    async def call(self, host_id: str, message: Message, timeout_s: float) -> Message:
        """Send a message to a host and return its reply.

        Raises ``RouterError`` with ``PEER_CLOSED`` when the host cannot be
        reached or does not reply within ``timeout_s`` seconds.
        """
        return await self._link(host_id).call(message, timeout_s)

    async def send(self, host_id: str, message: Message) -> None:
        """Queue a message that has no reply.

        Raises ``RouterError`` with ``PEER_CLOSED`` when the peer is known to
        be unreachable or its send queue is full.
        """
        self.post(host_id, message)

    def post(self, host_id: str, message: Message) -> None:
        """Queue a message that has no reply, ahead of any later call.

        Raises like ``send``.
        """
        self._link(host_id).send(Envelope(0, message))

    def use_key(self, key: bytes) -> None:
        """Authenticate with ``key`` from now on; existing links are closed."""
        self._key = key
        for link in self._links_by_host_id.values():
            link.drop()
        self._links_by_host_id.clear()

    def drop(self, host_id: str) -> None:
        """Close the stream to a host that is dead; its open calls fail.

        A frozen host keeps the stream open, so calls would wait for it
        although another host has become the owner.
        """
        link = self._links_by_host_id.get(host_id)
        if link is not None:
            link.drop()

    async def close(self) -> None:
        """Close all links."""
        for link in self._links_by_host_id.values():
            await link.close()
        await asyncio.gather(*self._closing, return_exceptions=True)

    def _link(self, host_id: str) -> _PeerLink:
        """Return the link to a host; replace it if the address has changed."""
        address = self._address_of(host_id)
        if address is None:
            raise RouterError(ResultCode.PEER_CLOSED, f"unknown host {host_id}")
        link = self._links_by_host_id.get(host_id)
        if link is not None and link.address == address:
            return link
        if link is not None:
            closing = asyncio.create_task(link.close())
            self._closing.add(closing)
            closing.add_done_callback(self._closing.discard)
        link = _PeerLink(
            host_id,
            address,
            self._identity,
            self._key,
            self._clock,
            self._rng,
            self._on_link_closed,
            self._count_bytes,
            self._count_odd,
            self._on_other_key,
        )
        self._links_by_host_id[host_id] = link
        return link
