"""Tests of the callers' side of a planned stop, over real connections.

They guard against requests that a stopping host has read and doesn't answer:
pipelined ones, half-sent ones, answers that are still in a buffer when the
process ends, answers that a reset destroys, and requests that are still in
progress when the process must exit.
"""

import asyncio
import json
import socket
import threading
import time
from collections.abc import Awaitable, Callable

import pytest
import uvloop
from test_caller_api import AUTH, SETTINGS, FakeModelPath, make_api

from kumquat_core import server_connections
from kumquat_core.clock import SystemClock
from kumquat_core.engine_client import Token
from kumquatrouter.drain import Drain
from kumquatrouter.model_path import RequestStats

LIMIT_S = 2.0
LARGE = 6_000_000


class HeldModelPath(FakeModelPath):
    """Holds requests until ``release`` is set; large answers on request."""

    def __init__(self, answer: str = "a") -> None:
        super().__init__()
        self.release = asyncio.Event()
        self.began = asyncio.Event()
        self._answer = answer

    async def run(self, configuration, request, sink) -> RequestStats:
        self.calls += 1
        self.began.set()
        stats = RequestStats(tokens=1)
        if request.max_tokens == 2:
            await sink.write([Token(0, '"first"')], stats)
        await self.release.wait()
        await sink.write([Token(0, json.dumps(self._answer))], stats)
        return stats


def request_bytes(**fields: object) -> bytes:
    body = json.dumps({"model": "advice", "prompt": "hi", **fields}).encode()
    head = (
        "POST /v1/completions HTTP/1.1\r\nHost: h\r\n"
        f"Authorization: {AUTH['Authorization']}\r\n"
        f"Content-Length: {len(body)}\r\n\r\n"
    )
    return head.encode() + body


Scenario = Callable[["Host"], Awaitable[None]]


class Host:
    """A host in its own thread; its event loop ends with the scenario."""

    def __init__(self, scenario: Scenario, answer: str = "a") -> None:
        with socket.socket() as probe:
            probe.bind(("127.0.0.1", 0))
            self.port = probe.getsockname()[1]
        self.drain: Drain
        self.path: HeldModelPath
        self._scenario, self._answer = scenario, answer
        self._ready = threading.Event()
        self._thread = threading.Thread(target=lambda: uvloop.run(self._run()))

    async def _run(self) -> None:
        clock = SystemClock()
        self.drain = Drain(100, clock, 0.0)
        self.path = HeldModelPath(self._answer)
        self.api = make_api(self.path, self.drain)
        listen = type(SETTINGS.caller_listen)(ip="127.0.0.1", port=self.port)
        self.api._options = SimpleOptions(self.api._options, listen)
        await self.api.start()
        self._ready.set()
        async with asyncio.timeout(10):
            await self._scenario(self)

    async def stop(self) -> None:
        await self.drain.wait_idle(LIMIT_S)
        await self.api.stop()

    def __enter__(self) -> "Host":
        self._thread.start()
        self._ready.wait(5)
        return self

    def __exit__(self, *_: object) -> None:
        self._thread.join()

    def connect(self) -> socket.socket:
        return socket.create_connection(("127.0.0.1", self.port), timeout=5)


class SimpleOptions:
    """Options with another listen address."""

    def __init__(self, options, listen) -> None:
        self._options = options
        self.caller_listen = listen

    def __getattr__(self, name):
        return getattr(self._options, name)


def read_all(
    connection: socket.socket, pause_s: float = 0.0, send: bytes = b""
) -> bytes:
    """Read to the end, with a pause and some bytes sent after each part."""
    data = b""
    try:
        while part := connection.recv(65536):
            data += part
            time.sleep(pause_s)
            if send:
                connection.sendall(send)
    except ConnectionError:
        pass
    return data


def statuses(data: bytes) -> list[int]:
    return [int(part[:3]) for part in data.split(b"HTTP/1.1 ")[1:]]


def test_pipelined_requests_that_were_read_are_all_answered():
    """The answer to the first one closed the connection, and those that the
    host had read after it were dropped."""

    async def scenario(host: Host) -> None:
        await host.path.began.wait()
        await asyncio.sleep(0.05)
        host.drain.begin()
        host.path.release.set()
        await host.stop()

    with Host(scenario) as host, host.connect() as connection:
        connection.sendall(request_bytes() * 3)
        assert statuses(read_all(connection)) == [200, 503, 503]


def test_answer_of_a_stopping_host_announces_the_close():
    """The header was missing, so a caller sent its next request into the
    close."""

    async def scenario(host: Host) -> None:
        await host.path.began.wait()
        host.drain.begin()
        host.path.release.set()
        await host.stop()

    with Host(scenario) as host, host.connect() as connection:
        connection.sendall(request_bytes())
        assert b"Connection: close" in read_all(connection)


def test_half_a_head_is_refused_at_the_stop():
    async def scenario(host: Host) -> None:
        await host.path.began.wait()
        await asyncio.sleep(0.05)
        host.drain.begin()
        host.path.release.set()
        await host.stop()

    with Host(scenario) as host, host.connect() as slow, host.connect() as other:
        slow.sendall(request_bytes()[:40])
        time.sleep(0.05)
        other.sendall(request_bytes())
        answer = read_all(slow)
        assert statuses(answer) == [503]
        assert b"X-Execution: not_run" in answer
        assert statuses(read_all(other)) == [200]


def test_half_a_head_behind_a_complete_request_is_refused_at_the_stop():
    """Both came in one segment: the caller got a closed connection."""
    answered = threading.Event()

    async def scenario(host: Host) -> None:
        host.path.release.set()
        while not answered.is_set():
            await asyncio.sleep(0.01)
        host.drain.begin()
        await host.stop()

    with Host(scenario) as host, host.connect() as connection:
        connection.sendall(request_bytes() + request_bytes()[:40])
        first = b""
        while not first.endswith(b"}"):
            first += connection.recv(65536)
        answered.set()
        assert statuses(first) == [200]
        assert b"Connection: close" not in first
        answer = read_all(connection)
        assert statuses(answer) == [503]
        assert b"X-Execution: not_run" in answer


@pytest.mark.parametrize("send", [b"", b"POST /v1/completions HTTP/1.1\r\n"])
def test_large_answer_arrives_completely_although_the_process_ends(send):
    """The event loop ended while the transport still had a part of it, and
    bytes that the caller sent meanwhile reset the connection."""

    async def scenario(host: Host) -> None:
        await host.path.began.wait()
        host.drain.begin()
        host.path.release.set()
        await host.stop()

    with Host(scenario, "x" * LARGE) as host, host.connect() as connection:
        connection.sendall(request_bytes())
        answer = read_all(connection, pause_s=0.002, send=send)
        _, _, body = answer.partition(b"\r\n\r\n")
        assert json.loads(body)["choices"][0]["text"] == "x" * LARGE


def test_caller_that_reads_longer_than_the_linger_gets_its_whole_answer(monkeypatch):
    """The connection was closed with bytes unread while the kernel still had
    a part of the answer."""
    monkeypatch.setattr(server_connections, "LINGER_S", 0.02)
    test_large_answer_arrives_completely_although_the_process_ends(b"POST / HTTP/1.1")


def test_requests_in_progress_at_the_end_are_answered_as_unknown():
    """They were cancelled, and their callers got a closed connection."""

    async def scenario(host: Host) -> None:
        await host.path.began.wait()
        await asyncio.sleep(0.05)
        assert host.drain.cut_requests("drain_limit") == 2
        await host.stop()

    with Host(scenario) as host, host.connect() as plain, host.connect() as stream:
        plain.sendall(request_bytes())
        stream.sendall(request_bytes(stream=True, max_tokens=2))
        answer = read_all(plain)
        assert statuses(answer) == [504]
        assert b"X-Execution: unknown" in answer
        assert b"Connection: close" in answer
        events = read_all(stream)
        assert b'"first"' in events
        assert b"event: error" in events
        assert b"[DONE]" not in events


def test_request_on_a_connection_that_was_just_accepted_is_refused():
    """The connection was closed while its request was on its way."""

    async def scenario(host: Host) -> None:
        host.drain.begin()
        await asyncio.sleep(0.1)
        host.drain.cut_requests("drain_limit")
        await host.api.stop()

    with Host(scenario) as host, host.connect() as new:
        while not host.api._connections.closing:
            time.sleep(0.001)
        new.sendall(request_bytes())
        assert statuses(read_all(new)) == [503]


def test_empty_lines_on_an_idle_connection_are_not_answered():
    """An answer without a request would be taken for that to the next one."""

    async def scenario(host: Host) -> None:
        await host.path.began.wait()
        host.path.release.set()
        await asyncio.sleep(0.15)
        host.drain.begin()
        await host.stop()

    with Host(scenario) as host, host.connect() as idle:
        idle.sendall(request_bytes())
        time.sleep(0.05)
        idle.sendall(b"\r\n")
        assert statuses(read_all(idle)) == [200]


def test_idle_connections_do_not_delay_the_stop():
    async def scenario(host: Host) -> None:
        await asyncio.sleep(0.05)
        host.drain.begin()
        began_s = time.monotonic()
        await host.stop()
        assert time.monotonic() - began_s < 0.5

    with Host(scenario) as host, host.connect() as idle:
        assert read_all(idle) == b""
