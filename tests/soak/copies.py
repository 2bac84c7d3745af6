"""Copies of answers that a stuttering engine writes, chosen at random.

A copy is taken for another answer only if it is that of a refusal, an error or
a control call, and if its connection is soon used again. So the engines answer
at random meanwhile, and more callers send requests through one host.
"""

import asyncio
import itertools
import random
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

from tests.relay.stutter import Copy, CopyTime, Exchange, as_chunked, without_id

from .callers import PLAIN_ROUTES, STREAM_ROUTES, SoakCaller
from .soak_harness import SoakHarness

__all__ = ["stuttering_engines"]

COPY_SHARE = 0.5
# Control calls are few, so all of their answers are copied.
CONTROL_PREFIX = "/api/"
MAX_IDLE_S = 0.3
# A copy on an idle connection is seen before the next request.
TIMES = (*CopyTime, CopyTime.AFTER_REQUEST, CopyTime.BEFORE_NEXT)
WITHOUT_ID_SHARE = 0.7
ROUTES_OF_CALLERS = (*(PLAIN_ROUTES,) * 5, *(STREAM_ROUTES,) * 3)
PAUSE_S = 0.01

_caller_numbers = itertools.count()


class _RandomCopies:
    def __init__(self, rng: random.Random) -> None:
        self._rng = rng

    def __call__(self, exchange: Exchange) -> Copy | None:
        """Return a copy of an answer of any kind, or none."""
        is_control_call = exchange.target.startswith(CONTROL_PREFIX)
        if not is_control_call and self._rng.random() >= COPY_SHARE:
            return None
        data = exchange.answer
        if self._rng.random() < WITHOUT_ID_SHARE:
            data = without_id(data)
        is_chunked = b"chunked" in data.partition(b"\r\n\r\n")[0].lower()
        if not is_chunked and self._rng.random() < 0.2:
            data = as_chunked(data)
        if self._rng.random() < 0.3:
            data = data[: self._rng.randrange(1, len(data))]
        time = self._rng.choice(TIMES)
        return Copy(data, time, self._rng.uniform(0.0, MAX_IDLE_S))


@asynccontextmanager
async def stuttering_engines(
    harness: SoakHarness, rng: random.Random
) -> AsyncIterator[list[SoakCaller]]:
    """Let all engines stutter under more callers, which have ended at the end.

    Half of the answers and all those to control calls are copied, whole or
    cut, with their id or not, at any time.
    """
    host_id = rng.choice(sorted(harness.caller_links))
    callers = [
        SoakCaller(
            f"s{next(_caller_numbers)}",
            random.Random(rng.random()),
            {host_id: harness.caller_links[host_id].address},
            routes=routes,
            pause_s=PAUSE_S,
        )
        for routes in ROUTES_OF_CALLERS
    ]
    sending = asyncio.gather(*(caller.run() for caller in callers))
    for engine in harness.engines:
        engine.random_answers = random.Random(rng.random())
        plan = _RandomCopies(random.Random(rng.random()))
        harness.stutters[engine.id].plan = plan
    try:
        yield callers
    finally:
        for engine in harness.engines:
            engine.random_answers = None
            harness.stutters[engine.id].plan = None
        for caller in callers:
            caller.stopping = True
        await sending
