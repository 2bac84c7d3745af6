"""Slopes of the traffic over loopback sockets: tokens, streams, reports.

A stub on the same event loop replaces the engine and sends prepared bytes. Its
processor time is included, so the results are upper bounds.
"""

import asyncio
import gc
import hashlib
import json
import socket
import time
import tracemalloc
from collections.abc import Awaitable, Callable
from typing import cast

from aiohttp import web

from kumquat_core.clock import SystemClock
from kumquat_core.configuration import Configuration
from kumquat_core.engine_client import HttpEngineClient, Token
from kumquat_core.host_list_client import HttpHostListClient
from kumquat_core.http_client import create_session
from kumquat_core.request_ids import RequestId, RequestIdGenerator
from kumquat_core.settings import Options, SettingsModel
from kumquat_core.ticket_models import TicketModel
from kumquat_core.tickets import Ticket, TicketStore
from kumquatrouter.caller_api import CallerApi
from kumquatrouter.drain import Drain
from kumquatrouter.model_path import ModelPath, ModelRequest, RequestStats, ResponseSink
from kumquatrouter.plain_path import PlainPath
from kumquatrouter.request_observer import RequestObserver
from kumquatrouter.responses import StreamFormat

from .slope_series import Series

__all__ = ["traffic_series"]

TOKEN_COUNTS = (500, 2000, 8000)
STREAM_COUNTS = (50, 200, 800)
HELD_COUNTS = (0, 10, 20)
HOST_COUNTS = (28, 95, 380)
POLLS = 200
TOKENS_IN_A_READ = (1, 4, 16)
HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: %s\r\n"
STREAM_HEAD = HEAD % b"text/event-stream" + b"Transfer-Encoding: chunked\r\n\r\n"

KEY = "slope-key"
_ADDRESS = {"port": 0}
_URL = "http://127.0.0.1:1"
SETTINGS = SettingsModel.model_validate(
    {
        "host_id": "h",
        "region": "r",
        "failure_domain": "d",
        "caller_listen": _ADDRESS,
        "admin_listen": _ADDRESS,
        "peer_listen": _ADDRESS,
        "platform": {
            "table_service_url": _URL,
            "object_store_url": _URL,
            "host_list_url": _URL,
            "weight_store_url": _URL,
        },
        "peer_key_file": "peer.key",
    }
)
_BODY = json.dumps(
    {"model": "care", "prompt": "x" * 4000, "max_tokens": 475, "stream": True}
).encode()
COMPLETION = (
    b"POST /v1/completions HTTP/1.1\r\nHost: h\r\n"
    + f"Authorization: Bearer {KEY}\r\nContent-Length: {len(_BODY)}\r\n\r\n".encode()
    + _BODY
)

Reply = Callable[[bytes, asyncio.StreamWriter], Awaitable[None]]


def caller_tickets() -> TicketStore:
    """Return a configuration with one model and one tenant."""
    times = ("ttft_target_ms", "tbt_target_ms", "patience_ms", "deadline_ms")
    objects = [
        ("model", "care", {}),
        ("pool", "pool", {"region": "r", "models": ["care"]}),
        ("class", "chat", dict.fromkeys(times, 60_000)),
        ("rule", "rule", {"tenant": "*", "model": "care", "pool": "pool"}),
        (
            "tenant",
            "tenant",
            {
                "api_key_sha256": [hashlib.sha256(KEY.encode()).hexdigest()],
                "default_class": "chat",
            },
        ),
    ]
    items = [{"kind": k, "name": n, "state": s} for k, n, s in objects]
    model = TicketModel.model_validate(
        {"number": 1, "author": "slopes", "objects": items}
    )
    store = TicketStore()
    store.apply([Ticket(1, model)])
    return store


def traffic_series() -> list[Series]:
    """Measure the costs of all traffic."""
    return asyncio.run(_measure())


class _Stub:
    """An HTTP server that responds to every request with one function."""

    def __init__(self, reply: Reply) -> None:
        self._reply = reply
        self._server: asyncio.Server | None = None
        self.received_bytes = 0
        self.url = ""

    async def __aenter__(self) -> "_Stub":
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        port = self._server.sockets[0].getsockname()[1]
        self.url = f"http://127.0.0.1:{port}"
        return self

    async def __aexit__(self, *_: object) -> None:
        assert self._server is not None
        self._server.close()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                body = await reader.readexactly(_content_length(head))
                self.received_bytes += len(head) + len(body)
                await self._reply(head, writer)
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            writer.close()


def _content_length(head: bytes) -> int:
    for line in head.lower().split(b"\r\n"):
        if line.startswith(b"content-length:"):
            return int(line.split(b":")[1])
    return 0


def _chunk(data: bytes) -> bytes:
    return f"{len(data):x}\r\n".encode() + data + b"\r\n"


def _token(index: int) -> bytes:
    return f'data: {{"i": {index}, "t": "1e1a6a4 "}}\n\n'.encode()


async def _discard(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    try:
        while await reader.read(65536):
            pass
    finally:
        writer.close()


async def _measure() -> list[Series]:
    series = [await _token_series(batch) for batch in TOKENS_IN_A_READ]
    series.append(_token_bytes())
    series += await _stream_series()
    series += await _report_series()
    series += await _host_list_series()
    return series


async def _token_series(batch: int) -> Series:
    points = []
    for count in TOKEN_COUNTS:
        points.append((float(count), await _stream_once(count, batch)))
    name = f"pass on tokens, {batch} in a read"
    return Series(name, "tokens", "us", tuple(points))


async def _stream_once(count: int, batch: int) -> float:
    """Return the processor time to forward one response, in microseconds."""

    async def reply(head: bytes, writer: asyncio.StreamWriter) -> None:
        writer.write(STREAM_HEAD)
        for start in range(0, count, batch):
            indexes = range(start, min(start + batch, count))
            writer.write(_chunk(b"".join(_token(index) for index in indexes)))
            # Without a pause, one read would return many events.
            await asyncio.sleep(0)
            await asyncio.sleep(0)
        writer.write(_chunk(b"data: [DONE]\n\n") + b"0\r\n\r\n")

    stream_format = StreamFormat(RequestId("h", 1, 1), "care")
    sink = await asyncio.start_server(_discard, "127.0.0.1", 0)
    async with sink, _Stub(reply) as stub, create_session(1.0) as session:
        address = sink.sockets[0].getsockname()
        _, writer = await asyncio.open_connection(*address)
        client = HttpEngineClient(session, 5.0)
        received = 0
        began_ns = time.process_time_ns()
        async for tokens in client.decode(stub.url, "h.1.1", count, 0):
            received += len(tokens)
            writer.write(stream_format.tokens(tokens))
        spent_us = (time.process_time_ns() - began_ns) / 1000
        writer.close()
    if received != count:
        raise RuntimeError(f"{received} of {count} tokens arrived")
    return spent_us


def _token_bytes() -> Series:
    stream_format = StreamFormat(RequestId("vestland-041", 1796355462550, 1), "care")
    points = []
    for count in TOKEN_COUNTS:
        tokens = [Token(index, '"1e1a6a4 "') for index in range(count)]
        to_caller = len(stream_format.tokens(tokens))
        from_engine = sum(len(_token(index)) for index in range(count))
        points.append((float(count), float(to_caller + from_engine)))
    return Series("token bytes in and out", "tokens", "bytes", tuple(points))


async def _stream_series() -> list[Series]:
    """Measure the memory of streams that wait for their next token."""
    engine_side, caller_side = [], []
    for count in STREAM_COUNTS:
        engine_side.append((count, await _engine_stream_bytes(count)))
        caller_side.append((count, await _caller_stream_bytes(count)))
    return [
        Series("engine side of open streams", "streams", "bytes", tuple(engine_side)),
        Series("caller side of open streams", "streams", "bytes", tuple(caller_side)),
    ]


class _StalledPath:
    """Replaces the model path: sends one token and then waits."""

    async def run(
        self, configuration: Configuration, request: ModelRequest, sink: ResponseSink
    ) -> RequestStats:
        """Deliver one token; ends only when cancelled."""
        await sink.write([Token(0, '"a "')], RequestStats(tokens=1))
        await asyncio.Event().wait()
        return RequestStats()


async def _open_caller(address: tuple[str, int]) -> socket.socket:
    """Return a socket on which a completion has been requested."""
    loop = asyncio.get_running_loop()
    caller = socket.socket()
    caller.setblocking(False)
    await loop.sock_connect(caller, address)
    await loop.sock_sendall(caller, COMPLETION)
    return caller


async def _caller_stream_bytes(count: int) -> int:
    """Return the memory of streams at the caller API, in bytes."""
    clock = SystemClock()
    drain = Drain(max(STREAM_COUNTS), clock)
    api = CallerApi(
        Options.from_settings(SETTINGS, b"key"),
        caller_tickets(),
        RequestIdGenerator("h", 1),
        cast(ModelPath, _StalledPath()),
        cast(PlainPath, None),
        drain,
        clock,
        RequestObserver.from_clock(clock),
    )
    runner = web.AppRunner(api.create_app(), handler_cancellation=True)
    await runner.setup()
    site = web.TCPSite(runner, "127.0.0.1", 0)
    await site.start()
    address = runner.addresses[0]
    gc.collect()
    tracemalloc.start()
    callers = [await _open_caller(address) for _ in range(count)]
    await asyncio.sleep(1.0)
    gc.collect()
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    in_progress = drain.in_progress
    for caller in callers:
        caller.close()
    await runner.cleanup()
    if in_progress != count:
        raise RuntimeError(f"{in_progress} of {count} streams are open")
    return size


async def _engine_stream_bytes(count: int) -> int:
    stalled = asyncio.Event()

    async def reply(head: bytes, writer: asyncio.StreamWriter) -> None:
        writer.write(STREAM_HEAD + _chunk(_token(0)))
        await stalled.wait()

    async def consume(client: HttpEngineClient, url: str, number: int) -> None:
        async for _ in client.decode(url, f"h.1.{number}", 10, 0):
            pass

    async with _Stub(reply) as stub, create_session(5.0) as session:
        client = HttpEngineClient(session, 60.0)
        gc.collect()
        tracemalloc.start()
        tasks = [
            asyncio.create_task(consume(client, stub.url, number))
            for number in range(count)
        ]
        await asyncio.sleep(1.0)
        gc.collect()
        size, _ = tracemalloc.get_traced_memory()
        tracemalloc.stop()
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        stalled.set()
    return size


async def _report_series() -> list[Series]:
    times, sizes = [], []
    for held in HELD_COUNTS:
        spent_us, size = await _poll_reports(held)
        times.append((float(held), spent_us))
        sizes.append((float(held), size))
    return [
        Series("read an engine report", "held requests", "us", tuple(times)),
        Series("engine report in and out", "held requests", "bytes", tuple(sizes)),
    ]


async def _host_list_series() -> list[Series]:
    times, sizes = [], []
    for count in HOST_COUNTS:
        hosts = [
            {
                "host_id": f"vestland-{number:03}",
                "address": "192.0.2.101",
                "peer_port": 8082,
                "failure_domain": "fjord-a",
                "region": "vestland",
                "state": "live",
            }
            for number in range(count)
        ]
        body = json.dumps({"hosts": hosts, "backend_servers": []}).encode()
        async with _Stub(_reply_with(body)) as stub, create_session(1.0) as session:
            client = HttpHostListClient(session, stub.url, 5.0)
            times.append((count, await _poll_us(client.fetch)))
        sizes.append((count, len(body)))
    return [
        Series("read the host list", "hosts", "us", tuple(times)),
        Series("host list", "hosts", "bytes", tuple(sizes)),
    ]


def _response(body: bytes) -> bytes:
    head = HEAD % b"application/json"
    return head + f"Content-Length: {len(body)}\r\n\r\n".encode() + body


def _reply_with(body: bytes) -> Reply:
    response = _response(body)

    async def reply(_: bytes, writer: asyncio.StreamWriter) -> None:
        writer.write(response)

    return reply


async def _poll_us(poll: Callable[[], Awaitable[object]]) -> float:
    """Return the processor time of one poll in microseconds."""
    await poll()
    began_ns = time.process_time_ns()
    for _ in range(POLLS):
        await poll()
    return (time.process_time_ns() - began_ns) / 1000 / POLLS


async def _poll_reports(held: int) -> tuple[float, float]:
    """Return processor time in us and bytes of one poll of an engine."""
    requests = [
        {"request_id": f"vestland-041.1796355462550.{n}", "pieces": 3, "age_ms": 9000}
        for n in range(held)
    ]
    document = {
        "as_of_ms": 1796355462550,
        "role": "decode",
        "models": ["care"],
        "total_pieces": 64,
        "held_pieces": 3 * held,
        "requests": requests,
        "prefill_queue": 0,
        "step_ms": 30.1,
    }
    body = json.dumps(document).encode()
    async with _Stub(_reply_with(body)) as stub, create_session(1.0) as session:
        client = HttpEngineClient(session, 5.0)
        spent_us = await _poll_us(lambda: client.report(stub.url, fresh=True))
        sent = stub.received_bytes / (POLLS + 1)
    return spent_us, sent + len(_response(body))
