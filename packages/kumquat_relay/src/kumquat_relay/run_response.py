"""Waits for the response to a run, and begins another if it is late."""

import asyncio
from typing import Any

from kumquat_core.clock import Clock

from .open_stream import OpenStream, RunFailedError
from .standby import Standby

__all__ = ["await_response"]

# Interval at which a run without a response is checked.
CHECK_S = 0.35
MIN_CHECK_S = 0.01


async def await_response(
    clock: Clock, opening: "asyncio.Task[OpenStream]", standby: Standby[Any]
) -> OpenStream:
    """Return the response that ``opening`` waits for.

    Raises ``RunFailedError`` if the run of ``standby`` has begun before, and
    the errors of ``opening``.
    """
    sent_s = clock.monotonic()
    limit_s = standby.limits.first_event_s
    try:
        while True:
            silent_s = clock.monotonic() - sent_s
            standby.observe_silence(silent_s, limit_s)
            await asyncio.wait(
                {opening, *standby.pending},
                timeout=_check_after_s(limit_s - silent_s),
                return_when=asyncio.FIRST_COMPLETED,
            )
            if opening.done():
                return await opening
            if standby.is_ready:
                raise RunFailedError.from_silence()
    except BaseException:
        opening.cancel()
        opening.add_done_callback(_abort_response)
        raise


def _check_after_s(left_s: float) -> float:
    """Return when to check a run that may be silent for ``left_s`` more."""
    if left_s <= 0:
        return CHECK_S
    return min(CHECK_S, max(MIN_CHECK_S, left_s))


def _abort_response(opening: "asyncio.Future[OpenStream]") -> None:
    """End a run whose response arrived when it was not needed any more."""
    if not opening.cancelled() and opening.exception() is None:
        opening.result().abort_if_open()
