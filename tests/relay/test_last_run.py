"""Tests of streams that no further engine may resume."""

import asyncio
from collections.abc import Mapping

import pytest
from aiohttp import web

from .odd_streams import OddAnswer
from .raw_answers import parse_answer
from .raw_caller import RawCaller, request_bytes
from .relay_harness import RelayHarness, configuration, run_scenario

EVENTS = b"".join(f"id: {n}\ndata: e{n}\n\n".encode() for n in range(1, 4))
# Longer than the pauses after which a stream is resumed at another engine,
# shorter than those after which callers disconnect.
PAUSE_S = 1.6
DEADLINE_MS = 20_000


async def allow_runs(harness: RelayHarness, runs: int) -> None:
    document = configuration(version=4)
    for route in document["routes"]:
        route |= {"max_attempts": runs, "timeout_ms": DEADLINE_MS}
    harness.store.put("op", "config", document)
    await harness.wait_until(
        lambda: harness.host._parts.cluster_state.routes.version == 4
    )


def pausing_answer(where: str) -> OddAnswer:
    """Return an event stream that pauses once, before its head or an event."""

    async def answer(
        request: web.BaseRequest, headers: Mapping[str, str], after: int
    ) -> web.StreamResponse:
        response = web.StreamResponse(
            headers={**headers, "Content-Type": "text/event-stream"}
        )
        response.enable_chunked_encoding()
        if where == "head":
            await asyncio.sleep(PAUSE_S)
        await response.prepare(request)
        for number in range(after + 1, 4):
            if where == "event" and number == 3:
                await asyncio.sleep(PAUSE_S)
            await response.write(f"id: {number}\ndata: e{number}\n\n".encode())
        await response.write_eof()
        return response

    return answer


async def read_stream(harness: RelayHarness) -> bytes:
    """Send a request for a stream; return its body once it is complete."""
    caller = await RawCaller.connect(harness.options.callers)
    caller.writer.write(request_bytes("story", "last", DEADLINE_MS))
    received = b""
    async with asyncio.timeout(DEADLINE_MS / 1000):
        while not (answer := parse_answer(received, reset=False)).complete:
            chunk = await caller.reader.read(65536)
            assert chunk, received
            received += chunk
    caller.close()
    return answer.body


@pytest.mark.parametrize("where", ["head", "event"])
@pytest.mark.parametrize("runs", [1, 2])
def test_the_last_run_of_a_stream_has_the_time_of_its_caller(
    runs: int, where: str
) -> None:
    """The host broke a stream off after a few usual pauses, so that another
    engine could resume it, also if none was allowed to."""

    async def scenario(harness: RelayHarness) -> None:
        await allow_runs(harness, runs)
        answers = [pausing_answer(where)]
        for engine in harness.decode_engines:
            engine.odd_first_answers = answers if runs == 1 else []
            engine.odd_answers = answers if runs == 2 else []
        if runs == 2:
            harness.break_next_stream(after=1)
        assert await read_stream(harness) == EVENTS
        assert sum(len(engine.runs) for engine in harness.decode_engines) == runs

    run_scenario(scenario)
