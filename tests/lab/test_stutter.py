"""Guards against emulated servers that do not write the copies asked for, and
against routers' clients that take such a copy for a response."""

import asyncio
import random
from collections import Counter
from collections.abc import Awaitable, Callable

import aiohttp
import pytest
from aiohttp import web

from kumquat_core import http_client
from kumquat_core.http_client import create_session
from kumquat_core.proved_exchange import (
    CALL_ID_HEADER,
    UnprovedResponseError,
    exchange,
)
from kumquat_lab.backend_server import BackendConfig, backend_app
from kumquat_lab.emulated_responses import receipt
from kumquat_lab.platform import PlatformConfig, platform_app
from kumquat_lab.stutter import CopyKind, CopyTime, RecordedStream, Stutter

ID = "0123-4"
BODY = b'{"a": 1}'


async def _answer(request: web.Request) -> web.StreamResponse:
    if request.path == "/stream":
        stream = RecordedStream("r")
        await stream.prepare(request)
        await stream.write(b"data: 1\n\n")
        await stream.write(b"data: 2\n\n")
        return stream
    return web.Response(body=request.path.encode(), status=int(request.query["s"]))


async def _return_id(request: web.Request, response: web.StreamResponse) -> None:
    response.headers[CALL_ID_HEADER] = request.headers[CALL_ID_HEADER]


def _request(path: str) -> bytes:
    return f"GET {path} HTTP/1.1\r\nHost: a\r\n{CALL_ID_HEADER}: {ID}\r\n\r\n".encode()


async def _read_until(reader: asyncio.StreamReader, end: bytes) -> bytes:
    data = b""
    while not data.endswith(end):
        part = await reader.read(65536)
        assert part, data
        data += part
    return data


Talk = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]


def talk(fault: dict[str, object], scenario: Talk) -> dict[str, int]:
    """Run a scenario on a connection to a server; return the copies."""

    async def run() -> dict[str, int]:
        stutter = Stutter(random.Random(1), lambda *_: CopyKind.SUCCESS)
        app = web.Application()
        app.on_response_prepare.append(_return_id)
        stutter.add_to(app)
        app.router.add_get("/{path:.*}", _answer)
        stutter.apply_fault({"stutter": fault})
        runner = web.AppRunner(app)
        await runner.setup()
        await web.TCPSite(runner, "127.0.0.1", 0).start()
        reader, writer = await asyncio.open_connection(*runner.addresses[0])
        async with asyncio.timeout(20):
            await scenario(reader, writer)
        writer.close()
        await runner.cleanup()
        return stutter.apply_fault({})

    return asyncio.run(run())


def whole(*times: CopyTime, call_id: bool = True) -> dict[str, object]:
    return {"share": 1, "times": times, "call_id": [call_id], "cut_share": 0}


@pytest.mark.parametrize("time", [CopyTime.AT_ONCE, CopyTime.LATE])
def test_copy_follows_on_the_idle_connection_with_the_same_bytes(time):
    async def scenario(reader, writer):
        writer.write(_request("/first?s=503"))
        data = await _read_until(reader, b"/first")
        while data.count(b"/first") < 2:
            data += await reader.read(65536)
        assert data[: len(data) // 2] * 2 == data

    counts = talk(whole(time), scenario)
    assert counts == {f"success/{time}": 1}


def test_copy_comes_before_the_next_response():
    async def scenario(reader, writer):
        writer.write(_request("/first?s=500"))
        first = await _read_until(reader, b"/first")
        writer.write(_request("/second?s=200"))
        data = await _read_until(reader, b"/second")
        assert data.startswith(first)
        assert data.count(b"HTTP/1.1 ") == 2

    talk(whole(CopyTime.BEFORE_NEXT), scenario)


def test_copy_can_lack_the_id_of_its_call():
    async def scenario(reader, writer):
        writer.write(_request("/first?s=404"))
        first = await _read_until(reader, b"/first")
        writer.write(_request("/second?s=200"))
        data = await _read_until(reader, b"/second")
        line = f"{CALL_ID_HEADER}: {ID}\r\n".encode()
        assert data.startswith(first.replace(line, b""))

    talk(whole(CopyTime.BEFORE_NEXT, call_id=False), scenario)


def test_copy_of_a_stream_has_its_head_and_events():
    async def scenario(reader, writer):
        writer.write(_request("/stream"))
        first = await _read_until(reader, b"\r\n0\r\n\r\n")
        writer.write(_request("/second?s=200"))
        data = await _read_until(reader, b"/second")
        head, _, _ = first.partition(b"\r\n\r\n")
        assert data.startswith(head)
        assert b"data: 1\n\ndata: 2\n\n\r\n0\r\n\r\n" in data

    talk(whole(CopyTime.BEFORE_NEXT), scenario)


def test_cut_copies_end_in_the_head_and_in_the_body():
    seen: Counter[bool] = Counter()

    async def scenario(reader, writer):
        last = b""
        for number in range(60):
            end = b"/%d%s" % (number, b"x" * 300)
            writer.write(_request(end.decode() + "?s=200"))
            data = await _read_until(reader, end)
            begin = data.rindex(b"HTTP/1.1 200")
            copy, answer = data[:begin], data[begin:]
            assert last.startswith(copy)
            assert len(copy) < len(last) or not last
            seen[b"\r\n\r\n" in copy] += bool(copy)
            last = answer

    fault = whole(CopyTime.BEFORE_NEXT) | {"cut_share": 1}
    talk(fault, scenario)
    assert seen[True] > 5
    assert seen[False] > 5


def test_server_writes_no_copies_unless_asked():
    async def scenario(reader, writer):
        writer.write(_request("/first?s=200"))
        data = await _read_until(reader, b"/first")
        writer.write(_request("/second?s=200"))
        data = await _read_until(reader, b"/second")
        assert data.count(b"HTTP/1.1 ") == 1

    assert talk({}, scenario) == {}


def test_invalid_fault_is_rejected():
    stutter = Stutter(random.Random(1), lambda *_: None)
    for fault in ({"share": 2}, {"times": []}, {"unknown": 1}):
        with pytest.raises(ValueError, match="validation error"):
            stutter.apply_fault({"stutter": fault})


SERVERS = {
    "backend": lambda: backend_app(
        BackendConfig(server_id="s", service="s", port=1, service_ms=0)
    ),
    "platform": lambda: platform_app(PlatformConfig(port=1)),
}


async def _call_backend(session: aiohttp.ClientSession, url: str, number: int) -> bool:
    body = b"%d" % number
    async with exchange(session, "POST", f"{url}/work", data=body) as response:
        return response.status == 503 or await response.read() == receipt("s", body)


async def _call_platform(session: aiohttp.ClientSession, url: str, number: int) -> bool:
    name = f"{url}/objects/{number}"
    if number % 2:
        async with exchange(session, "GET", name) as response:
            return response.status == 404
    data = b"%d" % number
    async with exchange(session, "PUT", name, data=data) as response:
        if response.status != 200:
            return False
    async with exchange(session, "GET", name) as response:
        return await response.read() == data


@pytest.mark.parametrize("server", SERVERS)
def test_no_call_gets_a_copy_of_another_response(server, monkeypatch):
    """Reused connections and all kinds of copies at once. With the proof of
    ``proved_exchange`` switched off, some calls get a copy."""
    monkeypatch.setattr(http_client, "NO_REUSE_S", 0.0)
    call = {"backend": _call_backend, "platform": _call_platform}[server]

    async def run() -> Counter[object]:
        runner = web.AppRunner(SERVERS[server]())
        await runner.setup()
        await web.TCPSite(runner, "127.0.0.1", 0).start()
        url = f"http://127.0.0.1:{runner.addresses[0][1]}"
        results: Counter[object] = Counter()
        # The faults have connections of their own, since their responses prove
        # nothing.
        async with create_session(5.0) as session, create_session(5.0) as control:
            await control.post(f"{url}/faults", json={"stutter": {"share": 1}})
            for number in range(400):
                try:
                    async with asyncio.timeout(20):
                        results[await call(session, url, number)] += 1
                except UnprovedResponseError:
                    results["unproved"] += 1
                except (aiohttp.ClientError, ConnectionError):
                    results["broken"] += 1
            async with control.post(f"{url}/faults", json={}) as answer:
                results["copies"] = sum((await answer.json())["copies"].values())
        await runner.cleanup()
        return results

    results = asyncio.run(run())
    assert results[False] == 0, results
    assert results[True] > 20, results
    assert results["unproved"] > 5, results
    assert results["copies"] > 100, results
