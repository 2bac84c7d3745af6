"""Guards against peers that hold memory, block others or end the process."""

import asyncio
import random
from collections.abc import Awaitable, Callable

import pytest

from kumquat_core.clock import ManualClock
from kumquat_core.frames import PeerIdentity, write_frame
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


class Pair:
    """A server for host b and the links of host a."""

    def __init__(self, handler: Callable[..., Awaitable[Message | None]]) -> None:
        self.server = PeerServer(
            Address("127.0.0.1", 0), PeerIdentity("b", 1), KEY, handler
        )
        self.clock = ManualClock()
        self.broken: list[str] = []
        self.links = PeerLinks(
            PeerIdentity("a", 1),
            KEY,
            lambda host_id: self.address if host_id == "b" else None,
            self.clock,
            random.Random(1),
            self.broken.append,
        )
        self.address = Address("127.0.0.1", 1)

    async def __aenter__(self) -> "Pair":
        self.server.set_loop(asyncio.get_running_loop())
        await self.server.start()
        assert self.server._server is not None
        port = self.server._server.sockets[0].getsockname()[1]
        self.address = Address("127.0.0.1", port)
        return self

    async def __aexit__(self, *_: object) -> None:
        await self.links.close()
        await self.server.stop()


async def answer(peer: PeerIdentity, message: Message) -> Message:
    return ACK


async def never_answer(peer: PeerIdentity, message: Message) -> Message:
    await asyncio.Event().wait()
    return ACK


def assert_code(error: RouterError, code: ResultCode) -> None:
    assert error.code is code


def test_open_calls_fail_at_once_when_the_stream_ends():
    async def scenario() -> None:
        async with Pair(never_answer) as pair:
            calls = [
                asyncio.create_task(pair.links.call("b", PING, 60)) for _ in range(3)
            ]
            while not pair.server._connections:
                await asyncio.sleep(0.001)
            await asyncio.sleep(0.02)
            await pair.server.stop()
            results = await asyncio.gather(*calls, return_exceptions=True)
            assert {r.code for r in results} == {ResultCode.PEER_CLOSED}
            assert pair.broken == ["b"]

    asyncio.run(asyncio.wait_for(scenario(), 10))


def test_unreachable_peer_fails_at_once_until_its_delay_is_over():
    async def scenario() -> None:
        async with Pair(answer) as pair:
            good = pair.address
            pair.address = Address("127.0.0.1", 1)
            with pytest.raises(RouterError):
                await pair.links.call("b", PING, 5)
            with pytest.raises(RouterError) as caught:
                await pair.links.call("b", PING, 5)
            assert "not connected" in caught.value.detail
            link = pair.links._links_by_host_id["b"]
            link.address = pair.address = good
            pair.clock.advance(0.1)
            assert await pair.links.call("b", PING, 5) == ACK

    asyncio.run(asyncio.wait_for(scenario(), 10))


def test_refusal_tells_an_ended_process_from_one_never_reached():
    async def scenario() -> None:
        async with Pair(answer) as pair:
            good, pair.address = pair.address, Address("127.0.0.1", 1)
            with pytest.raises(RouterError) as caught:
                await pair.links.call("b", PING, 5)
            assert not isinstance(caught.value, PeerRefusedError)
            pair.address = good
            await pair.links.call("b", PING, 5)
            await pair.server.stop()
            while not pair.broken[1:]:
                await asyncio.sleep(0.001)
            with pytest.raises(PeerRefusedError):
                await pair.links.call("b", PING, 5)

    asyncio.run(asyncio.wait_for(scenario(), 10))


def test_queue_for_a_frozen_peer_is_bounded():
    async def frozen(reader, writer) -> None:
        await asyncio.Event().wait()

    async def scenario() -> None:
        server = await asyncio.start_server(frozen, "127.0.0.1", 0)
        pair = Pair(answer)
        pair.address = Address("127.0.0.1", server.sockets[0].getsockname()[1])
        message = TicketBatch(1, ({"text": "x" * 100_000},))
        with pytest.raises(RouterError) as caught:
            for _ in range(2 * MAX_QUEUED_BYTES // 100_000):
                await pair.links.send("b", message)
        assert_code(caught.value, ResultCode.PEER_CLOSED)
        assert pair.links._links_by_host_id["b"]._queued_bytes <= MAX_QUEUED_BYTES
        await pair.links.close()
        server.close()

    asyncio.run(asyncio.wait_for(scenario(), 10))


def test_calls_to_a_host_that_is_declared_dead_fail_at_once():
    async def scenario() -> None:
        async with Pair(never_answer) as pair:
            call = asyncio.create_task(pair.links.call("b", PING, 60))
            while not pair.server._connections:
                await asyncio.sleep(0.001)
            pair.links.drop("b")
            with pytest.raises(RouterError):
                await call

    asyncio.run(asyncio.wait_for(scenario(), 10))


def test_silent_stream_is_replaced():
    async def scenario() -> None:
        async with Pair(never_answer) as pair:
            call = asyncio.create_task(pair.links.call("b", PING, 0.05))
            while not pair.server._connections:
                await asyncio.sleep(0.001)
            pair.clock.advance(2.0)
            with pytest.raises(RouterError):
                await call
            await asyncio.sleep(0.01)
            assert pair.broken == ["b"]

    asyncio.run(asyncio.wait_for(scenario(), 10))


@pytest.mark.parametrize("data", [b"\xc1" * 9, b"GET / HTTP/1.1\r\n\r\n" * 40])
def test_foreign_bytes_end_only_their_connection(data):
    async def scenario() -> None:
        async with Pair(answer) as pair:
            assert await pair.links.call("b", PING, 5) == ACK
            reader, writer = await asyncio.open_connection(
                pair.address.ip, pair.address.port
            )
            writer.write(data)
            writer.write_eof()
            assert len(await reader.read()) < 512
            assert await pair.links.call("b", PING, 5) == ACK
            assert pair.broken == []

    asyncio.run(asyncio.wait_for(scenario(), 10))


def test_failing_handler_does_not_end_the_connection():
    async def fail_once(peer: PeerIdentity, message: Message) -> Message:
        if isinstance(message, Ping) and message.ticket_position == 1:
            raise ValueError("handler failed")
        return ACK

    async def scenario() -> None:
        async with Pair(fail_once) as pair:
            with pytest.raises(RouterError):
                await pair.links.call("b", Ping("a", 1, 1), 0.1)
            assert await pair.links.call("b", PING, 5) == ACK

    asyncio.run(asyncio.wait_for(scenario(), 10))


def test_host_with_another_key_gets_no_answer():
    async def scenario() -> None:
        async with Pair(answer) as pair:
            pair.links._key = b"other"
            with pytest.raises(RouterError):
                await pair.links.call("b", PING, 5)
            assert pair.broken == ["b"]

    asyncio.run(asyncio.wait_for(scenario(), 10))


def test_frame_is_decoded_as_written():
    class Buffer:
        def __init__(self) -> None:
            self.data = b""

        def write(self, data: bytes) -> None:
            self.data += data

    buffer = Buffer()
    write_frame(buffer, encode(Envelope(3, PING)))
    assert decode(buffer.data[4:]) == Envelope(3, PING)
