"""Streams under a planned stop: a second model service, pauses and breaks."""

import asyncio
import random
from collections.abc import Callable
from typing import Any

from tests.relay.fakes import FakeEngine
from tests.relay.relay_harness import LLM

from .loopback_proxy import LinkState
from .soak_harness import EVENTS, SoakHarness

__all__ = ["SECOND_ROUTES", "disturb_streams", "use_second_service"]

SECOND_LLM = "llm2"
# Routes of the second model service and those that they are like.
SECOND_ROUTES = {"story2": "story", "tale2": "tale"}
# Sound engines may be silent for about a second.
PAUSE_S = (0.6, 1.6)
INTERVAL_S = 0.7


def use_second_service(harness: SoakHarness) -> Callable[[dict[str, Any]], None]:
    """Add engines of a second model service; return the change for it."""
    engines = [
        FakeEngine("reader2", "prefill"),
        *(FakeEngine(f"second{number}", "decode") for number in range(2)),
    ]
    harness.engines += engines
    harness.services_by_engine_id |= {engine.id: SECOND_LLM for engine in engines}

    def edit(document: dict[str, Any]) -> None:
        (service,) = [item for item in document["services"] if item["name"] == LLM]
        document["services"].append(service | {"name": SECOND_LLM})
        routes = {item["name"]: item for item in document["routes"]}
        for name, like in SECOND_ROUTES.items():
            changes = {"name": name, "prefix": f"/{name}/", "service": SECOND_LLM}
            document["routes"].append(routes[like] | changes)

    return edit


async def disturb_streams(
    harness: SoakHarness, rng: random.Random, *, pauses: bool, breaks: bool
) -> None:
    """Pause one decode engine at a time and break streams until cancelled."""
    engines = [engine for engine in harness.engines if engine.stage == "decode"]
    while True:
        await asyncio.sleep(rng.uniform(0.0, 2 * INTERVAL_S))
        if breaks:
            rng.choice(engines).break_after.append(rng.randrange(EVENTS))
        if not pauses:
            continue
        link = harness.engine_links[rng.choice(harness.engines).id]
        link.state = LinkState.SILENT
        try:
            await asyncio.sleep(rng.uniform(*PAUSE_S))
        finally:
            link.state = LinkState.OPEN
