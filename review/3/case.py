"""A prefill answered without end stops the event loop of the host."""

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

SECONDS = 15
ORDERS_PER_S = 8
STREAM_EVERY_S = 3


async def case(deployment: Deployment) -> bool:
    """Send orders all the while, and a stream request every few seconds."""
    callers = await deployment.start()
    reader = deployment.models[0]
    reader.floods = TROUBLE
    if TROUBLE:
        deployment.note(f"{reader.id} answers with bodies without end from now on")
    for tick in range(SECONDS * ORDERS_PER_S):
        if tick % (STREAM_EVERY_S * ORDERS_PER_S) == 0:
            callers.send("stelllogg", 14000)
        callers.send("bestilling", 4000)
        await asyncio.sleep(1 / ORDERS_PER_S)
    await callers.wait()
    deployment.note_attempts(callers)
    orders = [item for item in callers.attempts if item.route == "bestilling"]
    broken, text = judge_timeouts(orders, ORDER_TIMEOUT_MS / 1000)
    ran = sum(len(engine.runs) for engine in deployment.plain)
    deployment.note(f"answers without end: {reader.floods_begun}; orders run: {ran}")
    deployment.note(f"orders: {text}: CONFIG {'is broken' if broken else 'held'}")
    return broken


run_case(Path(__file__).parent / "record.txt", case)
