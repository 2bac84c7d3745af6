"""Tests of the bytes that callers read on their connections.

No answer without a request that waits, none of an earlier request, and none
that ends early and looks complete, however a server frames its own.
"""

import asyncio

import pytest

from .raw_answers import RawAnswer, parse_answer, read_all, request_bytes
from .relay_harness import RelayHarness, configuration, run_scenario
from .scripted_peer import ScriptedPeer, respond_with

VERSIONS = ["1.0", "1.1"]
LENGTH = b"Content-Length: 5\r\n\r\n"
CHUNKED = b"Transfer-Encoding: chunked\r\n\r\n"
CLOSE = b"Connection: close\r\n\r\n"


def head(status: int) -> bytes:
    return b"HTTP/1.1 %d Reason\r\nX-Request-Id: a\r\n" % status


async def ask(
    harness: RelayHarness,
    version: str,
    method: str,
    response: bytes,
    *,
    then_reset: bool = False,
) -> RawAnswer:
    """Return what a caller reads if its server sends these bytes and ends."""

    async def script(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await reader.readuntil(b"\r\n\r\n")
        writer.write(response)
        await writer.drain()

    reset = respond_with(response, then_reset=True)
    async with ScriptedPeer(reset if then_reset else script) as peer:
        for server in harness.backend_servers:
            server.advertised_address = peer.address
            harness.list_engine(server)
        registry = harness.host._parts.cluster_state.registry
        await harness.wait_until(
            lambda: all(
                (entry := registry.get(server.id)) is not None
                and entry.address == peer.address
                for server in harness.backend_servers
            )
        )
        sent = request_bytes("once", "a", version, method, b"body", "Connection: close")
        data, was_reset = await read_all(harness.host._options.callers, sent)
    return parse_answer(data, reset=was_reset, method=method)


@pytest.mark.parametrize("version", VERSIONS)
@pytest.mark.parametrize(
    "response",
    [
        head(200) + LENGTH + b"whole",
        head(200) + CHUNKED + b"2\r\nwh\r\n3\r\nole\r\n0\r\n\r\n",
        head(200) + CLOSE + b"whole",
        b"HTTP/1.1 103 Early Hints\r\nLink: <a>\r\n\r\n"
        + head(200)
        + LENGTH
        + b"whole",
    ],
)
def test_whole_answer_is_complete(response: bytes, version: str) -> None:
    async def scenario(harness: RelayHarness) -> None:
        answer = await ask(harness, version, "POST", response)
        assert (answer.status, answer.body) == (200, b"whole")
        assert answer.complete and answer.rest == b""

    run_scenario(scenario)


@pytest.mark.parametrize("version", VERSIONS)
@pytest.mark.parametrize(
    ("response", "then_reset"),
    [
        (head(200) + LENGTH + b"whol", False),
        (head(200) + LENGTH, False),
        (head(200) + CHUNKED + b"2\r\nwh\r\n3\r\nol", False),
        (head(200) + CHUNKED + b"2\r\nwh\r\n", False),
        (head(200) + CHUNKED + b"2\r\nwh\r\n0\r\n", False),
        (head(200) + CLOSE + b"whol", True),
        (head(200) + CLOSE, True),
        (head(404) + LENGTH + b"whol", False),
        (head(500) + CLOSE + b"whol", True),
        (head(503) + b"X-Not-Executed: 1\r\n" + LENGTH + b"whol", False),
        (head(200)[:-2], False),
    ],
)
def test_answer_that_ends_early_is_not_passed_on(
    response: bytes, then_reset: bool, version: str
) -> None:
    """The request may have run, which 502 states."""

    async def scenario(harness: RelayHarness) -> None:
        answer = await ask(harness, version, "POST", response, then_reset=then_reset)
        assert answer.status == 502
        assert answer.complete and answer.rest == b""
        assert b"wh" not in answer.body

    run_scenario(scenario)


@pytest.mark.parametrize("version", VERSIONS)
@pytest.mark.parametrize(
    ("method", "response", "status"),
    [
        ("HEAD", head(200) + LENGTH, 200),
        ("HEAD", head(200) + CHUNKED, 200),
        ("HEAD", head(200) + CLOSE, 200),
        ("HEAD", head(404) + LENGTH, 404),
        ("POST", head(204) + CLOSE, 204),
        ("POST", head(204) + LENGTH, 204),
        ("POST", head(204) + LENGTH + b"whole", 204),
        ("POST", head(304) + LENGTH, 304),
        ("POST", head(304) + CHUNKED, 304),
    ],
)
def test_answer_without_a_body_has_none(
    method: str, response: bytes, status: int, version: str
) -> None:
    """Its length names a body that is not sent."""

    async def scenario(harness: RelayHarness) -> None:
        answer = await ask(harness, version, method, response)
        assert answer.status == status
        assert answer.rest == b""
        if status == 204:
            assert b"content-length" not in answer.headers
        assert b"transfer-encoding" not in answer.headers

    run_scenario(scenario)


@pytest.mark.parametrize("sent", [b"", b"\r\n", b"\r\n\r\n\r\n"])
def test_connection_without_a_request_gets_no_answer(sent: bytes) -> None:
    async def scenario(harness: RelayHarness) -> None:
        document = configuration(version=4)
        document["limits"]["idle_timeout_ms"] = 100
        harness.store.put("op", "config", document)
        state = harness.host._parts.cluster_state
        await harness.wait_until(lambda: state.routes.version == 4)
        assert await read_all(harness.host._options.callers, sent) == (b"", False)

    run_scenario(scenario)


def test_idle_connection_gets_nothing_behind_its_last_answer() -> None:
    async def scenario(harness: RelayHarness) -> None:
        document = configuration(version=4)
        document["limits"]["idle_timeout_ms"] = 100
        harness.store.put("op", "config", document)
        state = harness.host._parts.cluster_state
        await harness.wait_until(lambda: state.routes.version == 4)
        data, reset = await read_all(
            harness.host._options.callers,
            request_bytes("once", "a"),
            b"\r\n",
            request_bytes("once", "b"),
        )
        first = parse_answer(data, reset=reset)
        second = parse_answer(first.rest, reset=reset)
        assert first.header("X-Request-Id") == "a"
        assert second.header("X-Request-Id") == "b"
        assert second.complete and second.rest == b""

    run_scenario(scenario)


@pytest.mark.parametrize("garbage", [b"garbage\r\n\r\n", b"\x00\x01", b"HTTP/1.1 200"])
def test_garbage_behind_a_request_gets_one_answer_and_nothing_runs(
    garbage: bytes,
) -> None:
    """What follows in the same segment may belong to the request."""

    async def scenario(harness: RelayHarness) -> None:
        sent = request_bytes("once", "a") + garbage + request_bytes("once", "b")
        data, reset = await read_all(harness.host._options.callers, sent)
        answer = parse_answer(data, reset=reset)
        assert answer.status == 400
        assert answer.complete and answer.rest == b""
        assert not any(server.received for server in harness.backend_servers)

    run_scenario(scenario)
