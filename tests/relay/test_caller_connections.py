"""Tests of what callers read on their connections, as raw bytes."""

import gzip

import pytest

from .raw_answers import exchange, parse_answer, read_all, request_bytes
from .relay_harness import RelayHarness, run_scenario

EVENTS = b"".join(f"id: {n}\ndata: e{n}\n\n".encode() for n in range(1, 6))


@pytest.mark.parametrize("version", ["1.0", "1.1"])
def test_broken_stream_does_not_look_complete(version: str) -> None:
    """HTTP/1.0 callers took the end of the connection for the stream's."""

    async def scenario(harness: RelayHarness) -> None:
        callers = harness.host._options.callers
        answer = await exchange(callers, "tale", harness.next_request_id(), version)
        assert answer.complete
        assert answer.body == EVENTS
        harness.break_next_stream(after=2)
        answer = await exchange(callers, "tale", harness.next_request_id(), version)
        assert not answer.complete
        assert EVENTS.startswith(answer.body)

    run_scenario(scenario)


@pytest.mark.parametrize("version", ["1.0", "1.1"])
def test_stream_past_its_deadline_does_not_look_complete(version: str) -> None:
    async def scenario(harness: RelayHarness) -> None:
        for engine in harness.decode_engines:
            engine.gap_s = 0.8
        callers = harness.host._options.callers
        answer = await exchange(callers, "tale", harness.next_request_id(), version)
        assert not answer.complete
        assert EVENTS.startswith(answer.body)

    run_scenario(scenario)


@pytest.mark.parametrize("encoding", ["gzip", "deflate", "unknown"])
def test_compressed_body_reaches_its_server_unchanged(encoding: str) -> None:
    """The host decompressed bodies and passed their encoding on."""

    async def scenario(harness: RelayHarness) -> None:
        body = gzip.compress(b"body", mtime=0)
        sent = request_bytes(
            "once",
            harness.next_request_id(),
            "1.1",
            "POST",
            body,
            f"Content-Encoding: {encoding}",
            "Connection: close",
        )
        data, _ = await read_all(harness.host._options.callers, sent)
        assert parse_answer(data, reset=False).status == 200
        (received,) = [
            item for engine in harness.backend_servers for item in engine.received
        ]
        assert received[2]["content-encoding"] == encoding
        assert received[3] == body

    run_scenario(scenario)
