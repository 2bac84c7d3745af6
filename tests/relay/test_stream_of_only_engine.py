"""Tests of streams that pause at the only decode engine of their service."""

import asyncio

import pytest

from .raw_answers import parse_answer
from .raw_caller import RawCaller, request_bytes
from .relay_harness import RelayHarness, run_scenario
from .test_last_run import DEADLINE_MS, EVENTS, _allow_runs, _pausing_answer


@pytest.mark.parametrize("where", ["head", "event"])
def test_a_pause_at_the_only_engine_does_not_break_the_stream(where: str) -> None:
    """A run was broken off after a few usual pauses, since its route allows
    another one, although no other engine could resume the stream."""

    async def scenario(harness: RelayHarness) -> None:
        await _allow_runs(harness, 2)
        engine, other = harness.decode_engines
        harness.store.remove("servers", other.id)
        registry = harness.host._parts.cluster_state.registry
        await harness.wait_until(lambda: registry.get(other.id) is None)
        engine.odd_first_answers = [_pausing_answer(where)]
        caller = await RawCaller.connect(harness.options.callers)
        caller.writer.write(request_bytes("story", "last", DEADLINE_MS))
        received = b""
        async with asyncio.timeout(DEADLINE_MS / 1000):
            while not (answer := parse_answer(received, reset=False)).complete:
                chunk = await caller.reader.read(65536)
                assert chunk, received
                received += chunk
        caller.close()
        assert answer.body == EVENTS

    run_scenario(scenario)
