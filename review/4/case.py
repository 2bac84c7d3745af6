"""A plain answer without end stops the event loop of the host."""

import asyncio
import sys
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
sys.path.insert(0, str(ROOT))

from review.standins.callers import judge_timeouts  # noqa: E402
from review.standins.deployment import (  # noqa: E402
    ORDER_TIMEOUT_MS,
    TROUBLE,
    Deployment,
    run_case,
)

SECONDS = 12
ORDERS_PER_S = 8


async def case(deployment: Deployment) -> bool:
    """Send orders; one of the three servers answers without end."""
    callers = await deployment.start()
    server = await deployment.busiest_plain(callers)
    server.floods = TROUBLE
    if TROUBLE:
        deployment.note(f"{server.id} answers with bodies without end from now on")
    for _ in range(SECONDS * ORDERS_PER_S):
        callers.send("bestilling", 4000)
        await asyncio.sleep(1 / ORDERS_PER_S)
    await callers.wait()
    deployment.note_attempts(callers)
    flooded = {arrival[3] for arrival in server.arrivals} if TROUBLE else set()
    others = [item for item in callers.attempts if item.id not in flooded]
    broken, text = judge_timeouts(callers.attempts, ORDER_TIMEOUT_MS / 1000)
    _, sound = judge_timeouts(others, ORDER_TIMEOUT_MS / 1000)
    deployment.note(f"answers without end: {server.floods_begun}")
    deployment.note(f"never sent to {server.id}: {sound}")
    deployment.note(f"all orders: {text}: CONFIG {'is broken' if broken else 'held'}")
    return broken


run_case(Path(__file__).parent / "record.txt", case)
