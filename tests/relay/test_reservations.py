"""Tests of reservations that are left when a stream goes to another engine."""

import asyncio
import random

import pytest

from .fakes import FakeEngine
from .relay_harness import RelayHarness, run_scenario


class RefuseOnce(random.Random):
    """Lets an engine refuse its first request only."""

    refused = False

    def random(self) -> float:
        was_refused, self.refused = self.refused, True
        return 1.0 if was_refused else 0.0


async def hold_slot(harness: RelayHarness) -> tuple[FakeEngine, FakeEngine]:
    """Return the engine with a reservation, which leaves, and the other one.

    The prompt is refused by the prefill engine only afterwards.
    """
    harness.prefill_engine.random_answers = RefuseOnce()
    engines = harness.decode_engines
    await harness.wait_until(lambda: any(engine.holds for engine in engines))
    held, other = sorted(engines, key=lambda engine: not engine.holds)
    await harness.wait_until(lambda: bool(harness.prefill_engine.received))
    harness.list_engine(held, "draining")
    registry = harness.host._parts.cluster_state.registry
    await harness.wait_until(lambda: registry.get(held.id).draining)
    return held, other


@pytest.mark.parametrize("reserves_again", [False, True])
def test_reservation_is_used_only_at_its_engine(reserves_again: bool) -> None:
    """A run named the reservation of an earlier grant at another engine, which
    kept the reserved slot from others meanwhile."""

    async def scenario(harness: RelayHarness) -> None:
        owner = harness.host._queue_owner
        owner._is_uncertain = lambda owned: True
        harness.prefill_engine.responsive.clear()
        status = asyncio.ensure_future(harness.request_status("tale"))
        held, other = await hold_slot(harness)
        owner._is_uncertain = lambda owned: reserves_again
        harness.prefill_engine.responsive.set()
        assert await status == 200
        (received,) = other.received
        hold = received[2].get("x-kv-hold", "")
        assert hold in other.holds if reserves_again else hold == ""
        (given,) = held.holds
        await harness.wait_until(lambda: f"/api/hold-drop/{given}" in held.calls)
        assert not any("hold-drop" in call for call in other.calls)

    run_scenario(scenario)
