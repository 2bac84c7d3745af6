"""Tests of streams that pause at the only decode engine of their service."""

import pytest

from .relay_harness import RelayHarness, run_scenario
from .test_last_run import EVENTS, allow_runs, pausing_answer, read_stream


@pytest.mark.parametrize("where", ["head", "event"])
def test_a_pause_at_the_only_engine_does_not_break_the_stream(where: str) -> None:
    """A run was broken off after a few usual pauses, since its route allows
    another one, although no other engine could resume the stream."""

    async def scenario(harness: RelayHarness) -> None:
        await allow_runs(harness, 2)
        engine, other = harness.decode_engines
        harness.store.remove("servers", other.id)
        registry = harness.host._parts.cluster_state.registry
        await harness.wait_until(lambda: registry.get(other.id) is None)
        engine.odd_first_answers = [pausing_answer(where)]
        assert await read_stream(harness) == EVENTS

    run_scenario(scenario)
