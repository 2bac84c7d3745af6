"""Tests of the links between hosts.

They guard against a frozen, slow or faulty peer that uses up memory, keeps
calls waiting, or ends the connections of other peers.
"""

import asyncio
import contextlib
import gc
import random
from collections.abc import Awaitable, Callable

import pytest

from kumquat_core.clock import ManualClock
from kumquat_core.frames import PeerIdentity, handshake, read_frame, write_frame
from kumquat_core.peer_messages import (
    Ack,
    Envelope,
    Message,
    Ping,
    TicketBatch,
    decode,
    encode,
)
from kumquat_core.result_codes import ResultCode, RouterError
from kumquat_core.settings import Address
from kumquatrouter.peer_links import MAX_QUEUED_BYTES, PeerLinks, PeerRefusedError
from kumquatrouter.peer_server import PeerServer

KEY = b"key"
PING = Ping("a", 1, 0)
ACK = Ack("b", 1, 0)


class PeerPair:
    """The peer server of host b and the peer links of host a."""

    def __init__(self, handler: Callable[..., Awaitable[Message | None]]) -> None:
        self.server = PeerServer(
            Address("127.0.0.1", 0), PeerIdentity("b", 1), KEY, handler
        )
        self.clock = ManualClock()
        self.closed_links: list[str] = []
        self.links = PeerLinks(
            PeerIdentity("a", 1),
            KEY,
            lambda host_id: self.address if host_id == "b" else None,
            self.clock,
            random.Random(1),
            self.closed_links.append,
        )
        self.address = Address("127.0.0.1", 1)

    async def __aenter__(self) -> "PeerPair":
        self.server.set_loop(asyncio.get_running_loop())
        await self.server.start()
        assert self.server._server is not None
        port = self.server._server.sockets[0].getsockname()[1]
        self.address = Address("127.0.0.1", port)
        return self

    async def __aexit__(self, *_: object) -> None:
        await self.links.close()
        await self.server.stop()


async def reply_with_ack(peer: PeerIdentity, message: Message) -> Message:
    return ACK


async def never_reply(peer: PeerIdentity, message: Message) -> Message:
    await asyncio.Event().wait()
    return ACK


def assert_code(error: RouterError, code: ResultCode) -> None:
    assert error.code is code


def test_open_calls_fail_at_once_when_the_stream_ends():
    async def scenario() -> None:
        async with PeerPair(never_reply) as peers:
            calls = [
                asyncio.create_task(peers.links.call("b", PING, 60)) for _ in range(3)
            ]
            while not peers.server._connections:
                await asyncio.sleep(0.001)
            await asyncio.sleep(0.02)
            await peers.server.stop()
            results = await asyncio.gather(*calls, return_exceptions=True)
            assert {r.code for r in results} == {ResultCode.PEER_CLOSED}
            assert peers.closed_links == ["b"]

    asyncio.run(asyncio.wait_for(scenario(), 10))


def test_calls_to_an_unreachable_peer_fail_at_once_until_the_retry_delay_ends():
    async def scenario() -> None:
        async with PeerPair(reply_with_ack) as peers:
            server_address = peers.address
            peers.address = Address("127.0.0.1", 1)
            with pytest.raises(RouterError):
                await peers.links.call("b", PING, 5)
            with pytest.raises(RouterError) as caught:
                await peers.links.call("b", PING, 5)
            assert "not connected" in caught.value.detail
            link = peers.links._links_by_host_id["b"]
            link.address = peers.address = server_address
            peers.clock.advance(0.1)
            assert await peers.links.call("b", PING, 5) == ACK

    asyncio.run(asyncio.wait_for(scenario(), 10))


def test_refused_connection_means_an_ended_process_only_after_a_connection():
    async def scenario() -> None:
        async with PeerPair(reply_with_ack) as peers:
            server_address, peers.address = peers.address, Address("127.0.0.1", 1)
            with pytest.raises(RouterError) as caught:
                await peers.links.call("b", PING, 5)
            assert not isinstance(caught.value, PeerRefusedError)
            peers.address = server_address
            await peers.links.call("b", PING, 5)
            await peers.server.stop()
            while not peers.closed_links[1:]:
                await asyncio.sleep(0.001)
            with pytest.raises(PeerRefusedError):
                await peers.links.call("b", PING, 5)

    asyncio.run(asyncio.wait_for(scenario(), 10))


def test_send_queue_for_a_frozen_peer_is_limited():
    async def frozen(reader, writer) -> None:
        await asyncio.Event().wait()

    async def scenario() -> None:
        server = await asyncio.start_server(frozen, "127.0.0.1", 0)
        peers = PeerPair(reply_with_ack)
        peers.address = Address("127.0.0.1", server.sockets[0].getsockname()[1])
        message = TicketBatch(1, ({"text": "x" * 100_000},))
        with pytest.raises(RouterError) as caught:
            for _ in range(2 * MAX_QUEUED_BYTES // 100_000):
                await peers.links.send("b", message)
        assert_code(caught.value, ResultCode.PEER_CLOSED)
        assert peers.links._links_by_host_id["b"]._queued_bytes <= MAX_QUEUED_BYTES
        await peers.links.close()
        server.close()

    asyncio.run(asyncio.wait_for(scenario(), 10))


def test_open_calls_to_a_host_that_is_declared_dead_fail_at_once():
    async def scenario() -> None:
        async with PeerPair(never_reply) as peers:
            call = asyncio.create_task(peers.links.call("b", PING, 60))
            while not peers.server._connections:
                await asyncio.sleep(0.001)
            peers.links.drop("b")
            with pytest.raises(RouterError):
                await call

    asyncio.run(asyncio.wait_for(scenario(), 10))


def test_stream_is_closed_when_nothing_arrives_after_a_call():
    async def scenario() -> None:
        async with PeerPair(never_reply) as peers:
            call = asyncio.create_task(peers.links.call("b", PING, 0.05))
            while not peers.server._connections:
                await asyncio.sleep(0.001)
            peers.clock.advance(2.0)
            with pytest.raises(RouterError):
                await call
            await asyncio.sleep(0.01)
            assert peers.closed_links == ["b"]

    asyncio.run(asyncio.wait_for(scenario(), 10))


@pytest.mark.parametrize("data", [b"\xc1" * 9, b"GET / HTTP/1.1\r\n\r\n" * 40])
def test_bytes_of_another_protocol_end_only_their_own_connection(data):
    async def scenario() -> None:
        async with PeerPair(reply_with_ack) as peers:
            assert await peers.links.call("b", PING, 5) == ACK
            reader, writer = await asyncio.open_connection(
                peers.address.ip, peers.address.port
            )
            writer.write(data)
            writer.write_eof()
            assert len(await reader.read()) < 512
            assert await peers.links.call("b", PING, 5) == ACK
            assert peers.closed_links == []

    asyncio.run(asyncio.wait_for(scenario(), 10))


def test_failing_handler_does_not_end_the_connection():
    async def fail_once(peer: PeerIdentity, message: Message) -> Message:
        if isinstance(message, Ping) and message.ticket_position == 1:
            raise ValueError("handler failed")
        return ACK

    async def scenario() -> None:
        async with PeerPair(fail_once) as peers:
            with pytest.raises(RouterError):
                await peers.links.call("b", Ping("a", 1, 1), 0.1)
            assert await peers.links.call("b", PING, 5) == ACK

    asyncio.run(asyncio.wait_for(scenario(), 10))


def test_host_with_another_key_gets_no_reply():
    async def scenario() -> None:
        async with PeerPair(reply_with_ack) as peers:
            peers.links._key = b"other"
            with pytest.raises(RouterError):
                await peers.links.call("b", PING, 5)
            assert peers.closed_links == ["b"]

    asyncio.run(asyncio.wait_for(scenario(), 10))


def test_written_frame_decodes_to_the_same_envelope():
    class Buffer:
        def __init__(self) -> None:
            self.data = b""

        def write(self, data: bytes) -> None:
            self.data += data

    buffer = Buffer()
    write_frame(buffer, encode(Envelope(3, PING)))
    assert decode(buffer.data[4:]) == Envelope(3, PING)


def test_malformed_call_fails_alone():
    async def scenario() -> None:
        counted = []
        async with PeerPair(reply_with_ack) as peers:
            peers.server._count_odd = lambda: counted.append(1)
            assert await peers.links.call("b", PING, 5) == ACK
            for number in range(3):
                with pytest.raises(RouterError) as caught:
                    await peers.links.call("b", Ping("a", 2**64 - 1, number), 5)
                assert_code(caught.value, ResultCode.PEER_PROTOCOL)
            assert await peers.links.call("b", PING, 5) == ACK
            assert peers.closed_links == []
            assert len(counted) == 3

    asyncio.run(asyncio.wait_for(scenario(), 10))


def test_malformed_reply_fails_alone():
    async def odd_reply(peer: PeerIdentity, message: Message) -> Message:
        position = message.ticket_position
        return Ack("b", 2**64 - 1 if position == 1 else 1, 0)

    async def scenario() -> None:
        async with PeerPair(odd_reply) as peers:
            results = await asyncio.gather(
                *(peers.links.call("b", Ping("a", 1, n), 5) for n in range(3)),
                return_exceptions=True,
            )
            assert results[0] == results[2] == ACK
            assert_code(results[1], ResultCode.PEER_PROTOCOL)
            assert peers.closed_links == []

    asyncio.run(asyncio.wait_for(scenario(), 10))


def test_reply_that_cannot_be_encoded_leaves_no_unread_error():
    async def endless(peer: PeerIdentity, message: Message) -> Message:
        return Ack("b", 10**30, 0)

    unread = []

    async def scenario() -> None:
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(lambda _, context: unread.append(context))
        async with PeerPair(endless) as peers:
            with pytest.raises(RouterError):
                await peers.links.call("b", PING, 0.2)
            gc.collect()

    asyncio.run(asyncio.wait_for(scenario(), 10))
    assert unread == []


@pytest.mark.parametrize(
    "address",
    [Address("127.0.0.1", 70_000), Address("...", 80), Address("127.0.0.1", -1)],
)
def test_peer_at_an_odd_address_cannot_be_reached(address):
    unread = []

    async def scenario() -> None:
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(lambda _, context: unread.append(context))
        async with PeerPair(reply_with_ack) as peers:
            good, peers.address = peers.address, address
            for _ in range(2):
                with pytest.raises(RouterError) as caught:
                    await peers.links.call("b", PING, 5)
                assert_code(caught.value, ResultCode.PEER_CLOSED)
                peers.clock.advance(5)
            peers.address = good
            assert await peers.links.call("b", PING, 5) == ACK
            gc.collect()

    asyncio.run(asyncio.wait_for(scenario(), 10))
    assert unread == []


class RepeatingPeer:
    """Host b, which writes old replies before and behind each new one."""

    def __init__(self) -> None:
        self._old: list[bytes] = []

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await handshake(reader, writer, PeerIdentity("b", 1), KEY, initiator=False)
        with contextlib.suppress(RouterError):
            while True:
                call = decode(await read_frame(reader))
                reply = Ack("b", 1, call.message.ticket_position)
                data = encode(Envelope(call.correlation_id, reply))
                for frame in (*self._old, data, data):
                    write_frame(writer, frame)
                self._old.append(data)
        writer.close()


def test_reply_that_is_written_again_is_not_that_to_another_call():
    """Correlation ids are never used again, also on the next stream."""

    async def scenario() -> None:
        peer = RepeatingPeer()
        server = await asyncio.start_server(peer.serve, "127.0.0.1", 0)
        address = Address("127.0.0.1", server.sockets[0].getsockname()[1])
        links = PeerLinks(
            PeerIdentity("a", 1), KEY, lambda _: address, ManualClock(), random.Random()
        )
        for number in range(9):
            if number == 5:
                links.drop("b")
                await asyncio.sleep(0.05)
            reply = await links.call("b", Ping("a", 1, number), 5)
            assert reply == Ack("b", 1, number)
        await links.close()
        server.close()

    asyncio.run(asyncio.wait_for(scenario(), 20))
