"""Lets the event loop accept and read what has arrived at a stopping host."""

import asyncio

__all__ = ["pass_loop"]

# Within this time callers send the request of a connection that was accepted
# just before.
LOOP_PASS_S = 0.02
# Steps of the event loop, between which it reads from connections. Accepted
# connections are read from the second one on.
LOOP_STEPS = 3


async def pass_loop() -> None:
    """Let the loop accept and read what has arrived.

    A busy loop runs its timers before it does so, also the one that ends the
    sleep. Callers get a refusal then instead of a closed connection.
    """
    await asyncio.sleep(LOOP_PASS_S)
    for _ in range(LOOP_STEPS):
        await asyncio.sleep(0)
