"""Tests of servers that send endless responses or never complete an event."""

import asyncio
import tracemalloc
from collections.abc import Callable

import pytest

from kumquat_core.clock import SystemClock
from kumquat_relay.engine_connection import ConnectionBrokenError, EngineConnection
from kumquat_relay.engine_pool import EnginePool
from kumquat_relay.event_stream import (
    MAX_EVENT_BYTES,
    EventSplitter,
    EventTooLargeError,
)
from kumquat_relay.open_stream import STALL_S, OpenStream, RunFailedError
from kumquat_relay.response_memory import (
    MAX_RESPONSE_BYTES,
    MAX_TOTAL_BYTES,
    SMALL_RESPONSE_BYTES,
    ResponseMemory,
)
from kumquat_relay.routes import Route, RouteKind
from kumquat_relay.stream_limits import EventTimeouts, event_timeouts

from .scripted_peer import Script, ScriptedPeer, respond_with

REQUEST_HEADERS = [(b"Host", b"h")]
STATUS_OK = b"HTTP/1.1 200 OK\r\n"
EVENT = b"id: 1\ndata: a\n\n"
# The smallest hosts have 128 MB, of which the process itself takes half.
MEMORY_LIMIT_BYTES = 64 * 1024 * 1024
RESPONSE_COUNT = 200


def endless_script(initial: bytes, repeated: bytes, pause_s: float = 0.0) -> Script:
    """Return a server that repeats ``repeated`` until it is closed."""

    async def script(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await reader.readuntil(b"\r\n\r\n")
        writer.write(initial)
        try:
            while not writer.is_closing():
                writer.write(repeated)
                await writer.drain()
                await asyncio.sleep(pause_s)
        except ConnectionError:
            return

    return script


async def read_response(connection: EngineConnection, memory: ResponseMemory) -> bytes:
    connection.send("GET", "/", REQUEST_HEADERS, b"")
    await connection.read_head()
    with memory.buffer() as response:
        async for part in connection.read_body():
            response.add(part)
        return response.to_bytes()


ENDLESS_RESPONSES = {
    "interim": (b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 50),
    "small headers": (STATUS_OK, b"X-A: b\r\n" * 1000),
    "one header": (STATUS_OK + b"X-A: ", b"b" * 8192),
    "no line": (b"", b"b" * 8192),
    "body without length": (STATUS_OK + b"\r\n", b"b" * 65536),
    "chunks": (
        STATUS_OK + b"Transfer-Encoding: chunked\r\n\r\n",
        b"4000\r\n" + b"b" * 0x4000 + b"\r\n",
    ),
    "chunk extension": (
        STATUS_OK + b"Transfer-Encoding: chunked\r\n\r\n4;",
        b"b" * 8192,
    ),
}


@pytest.mark.parametrize("kind", ENDLESS_RESPONSES)
def test_an_endless_response_closes_the_connection(kind: str) -> None:
    async def run() -> None:
        memory = ResponseMemory()
        async with ScriptedPeer(endless_script(*ENDLESS_RESPONSES[kind])) as peer:
            connection = await EngineConnection.open(peer.address, 1.0)
            async with asyncio.timeout(10.0):
                with pytest.raises(ConnectionBrokenError):
                    await read_response(connection, memory)
            connection.abort()
            assert not connection.usable
        assert memory.total_bytes == 0

    asyncio.run(run())


@pytest.mark.parametrize("kind", ["interim", "body without length", "chunks"])
def test_many_endless_responses_stay_within_the_memory_limit(kind: str) -> None:
    """With only a limit per response, 200 endless ones took 8 MB each."""

    async def run() -> None:
        memory = ResponseMemory()
        async with ScriptedPeer(endless_script(*ENDLESS_RESPONSES[kind])) as peer:

            async def read_one() -> None:
                connection = await EngineConnection.open(peer.address, 5.0)
                try:
                    await read_response(connection, memory)
                except ConnectionBrokenError:
                    connection.abort()

            tracemalloc.start()
            await asyncio.gather(*(read_one() for _ in range(RESPONSE_COUNT)))
            peak = tracemalloc.get_traced_memory()[1]
            tracemalloc.stop()
        assert peak < MEMORY_LIMIT_BYTES

    asyncio.run(run())


def test_small_responses_are_served_when_the_total_is_reached() -> None:
    memory = ResponseMemory()
    with memory.buffer() as endless_response:
        with pytest.raises(ConnectionBrokenError):
            for _ in range(MAX_RESPONSE_BYTES):
                endless_response.add(b"b" * SMALL_RESPONSE_BYTES)
        memory.total_bytes = MAX_TOTAL_BYTES
        with memory.buffer() as usual_response:
            usual_response.add(b"whole")
            assert usual_response.to_bytes() == b"whole"
            with pytest.raises(ConnectionBrokenError):
                usual_response.add(b"b" * SMALL_RESPONSE_BYTES)


def test_an_event_without_an_end_is_rejected() -> None:
    """Without a limit, all bytes after the last event are kept and copied."""
    splitter = EventSplitter()
    with pytest.raises(EventTooLargeError):
        for _ in range(2 * MAX_EVENT_BYTES // 1024):
            assert splitter.feed(b"b" * 1024) == b""


def test_comments_and_empty_lines_are_forwarded_but_not_counted() -> None:
    splitter = EventSplitter()
    sent = b": wait\n\n\n\n" + EVENT + b":\n\n"
    assert splitter.feed(sent) == sent
    assert (splitter.events, splitter.last_id) == (1, 1)


@pytest.mark.parametrize("size", [1, 2, 3, 7])
def test_splitting_does_not_depend_on_the_chunk_size(size: int) -> None:
    splitter = EventSplitter()
    sent = b"id: 1\ndata: a\n\nid: 2\ndata: b\n\n\n\nid: 3\n\n"
    parts = [sent[index : index + size] for index in range(0, len(sent), size)]
    assert b"".join(splitter.feed(part) for part in parts) == sent
    assert (splitter.events, splitter.last_id) == (3, 3)


def forwarded_events(
    script: Script, timeouts: EventTimeouts, pause_s: float = 0.0
) -> tuple[bytes, list[int]]:
    """Return the events forwarded to a caller, and the reported stalls.

    The caller pauses for ``pause_s`` after each part.
    """
    stalls: list[int] = []

    async def run() -> bytes:
        forwarded = bytearray()
        async with ScriptedPeer(script) as peer:
            stream = await open_stream(peer)
            try:
                async for part in stream.events(
                    EventSplitter(), timeouts, stalls.append
                ):
                    forwarded.extend(part)
                    await asyncio.sleep(pause_s)
            finally:
                stream.abort_if_open()
        return bytes(forwarded)

    return asyncio.run(run()), stalls


async def open_stream(peer: ScriptedPeer) -> OpenStream:
    clock = SystemClock()
    connection = await EngineConnection.open(peer.address, 1.0)
    connection.send("GET", "/", REQUEST_HEADERS, b"")
    await connection.read_head()
    return OpenStream("e", 200, [], True, connection, EnginePool(clock), clock)


CHUNKED_HEAD = STATUS_OK + b"Transfer-Encoding: chunked\r\n\r\n"
SHORT_TIMEOUTS = EventTimeouts(0.5, 0.5)
TRICKLES: dict[str, Callable[[], Script]] = {
    "bytes": lambda: endless_script(CHUNKED_HEAD, b"1\r\nb\r\n", 0.02),
    "comments": lambda: endless_script(CHUNKED_HEAD, b"3\r\n:\n\n\r\n", 0.02),
    "empty lines": lambda: endless_script(CHUNKED_HEAD, b"2\r\n\n\n\r\n", 0.02),
    "nothing": lambda: endless_script(CHUNKED_HEAD, b"", 0.02),
}


@pytest.mark.parametrize("kind", TRICKLES)
def test_bytes_without_events_do_not_prevent_the_timeout(kind: str) -> None:
    """A byte now and then must not keep a stalled stream open."""
    with pytest.raises(RunFailedError, match="silent"):
        forwarded_events(TRICKLES[kind](), SHORT_TIMEOUTS)


def test_stalls_are_reported_while_bytes_trickle_in() -> None:
    stalls: list[int] = []

    async def run() -> None:
        async with ScriptedPeer(TRICKLES["bytes"]()) as peer:
            stream = await open_stream(peer)
            timeouts = EventTimeouts(3 * STALL_S, 3 * STALL_S)
            with pytest.raises(RunFailedError):
                async for _ in stream.events(EventSplitter(), timeouts, stalls.append):
                    pass
            stream.abort_if_open()

    asyncio.run(run())
    assert len(stalls) >= 2


def slow_stream_script(count: int, gap_s: float) -> Script:
    """Return a server that streams events slowly and completes."""

    async def script(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await reader.readuntil(b"\r\n\r\n")
        writer.write(CHUNKED_HEAD)
        for _ in range(count):
            await asyncio.sleep(gap_s)
            writer.write(b"%x\r\n%s\r\n" % (len(EVENT), EVENT))
        writer.write(b"0\r\n\r\n")
        await writer.drain()

    return script


def test_a_slow_stream_within_the_timeout_completes() -> None:
    """The timeout applies to each pause, not to the whole stream."""
    forwarded, _ = forwarded_events(slow_stream_script(6, 0.3), SHORT_TIMEOUTS)
    assert forwarded == 6 * EVENT


def test_a_slow_caller_does_not_cause_a_timeout() -> None:
    forwarded, _ = forwarded_events(
        slow_stream_script(3, 0.05), SHORT_TIMEOUTS, pause_s=0.7
    )
    assert forwarded == 3 * EVENT


def test_a_stream_that_ends_within_an_event_fails() -> None:
    """A partial event must not be forwarded and reported as a success."""
    body = EVENT + b"id: 2\ndata: par"
    response = STATUS_OK + b"Content-Length: %d\r\n\r\n%s" % (len(body), body)
    with pytest.raises(RunFailedError, match="partial_event"):
        forwarded_events(respond_with(response), SHORT_TIMEOUTS)


def stream_route(*, objective_ms: int, max_gap_ms: int, resumable: bool) -> Route:
    return Route(
        name="r",
        host="h",
        prefix="/",
        kind=RouteKind.STREAM,
        services=(),
        timeout_ms=14_000,
        objective_ms=objective_ms,
        priority=1,
        max_engines=2,
        resumable=resumable,
        max_gap_ms=max_gap_ms,
    )


@pytest.mark.parametrize("max_gap_ms", [300, 1000, 3000])
@pytest.mark.parametrize("resumable", [True, False])
def test_timeouts_exceed_the_pauses_that_a_route_allows(
    max_gap_ms: int, resumable: bool
) -> None:
    """A fixed timeout of 1.2 s failed streams on routes with longer pauses."""
    route = stream_route(objective_ms=5000, max_gap_ms=max_gap_ms, resumable=resumable)
    timeouts = event_timeouts(route, may_resume=resumable)
    assert timeouts.gap_s > max_gap_ms / 1000
    assert timeouts.first_event_s >= 5.0
    # Callers disconnect by then, so a longer timeout would gain nothing.
    assert timeouts.gap_s <= max(2.0, 20.0, 8 * max_gap_ms / 1000) + 0.5
