"""The answer of a model engine to a run, from its head on.

Load pattern: an engine pauses all its runs while it reads a prompt, and one
that crashed without a reset is silent for good. Silence is reported while it
lasts; only a stream that can continue elsewhere is given up for it.
"""

import asyncio
from collections.abc import AsyncIterator, Callable
from dataclasses import dataclass, field

from kumquat_core.clock import Clock

from .engine_connection import ConnectionBrokenError, EngineConnection
from .engine_pool import EnginePool

__all__ = ["FIRST_EVENT_TIMEOUT_S", "OpenStream", "RunFailedError"]

# A first event comes 0.1 to 0.4 s after the send, events are 0.05 s apart, and
# both take a few times longer at an engine that reads prompts itself.
FIRST_EVENT_TIMEOUT_S = 0.9
SILENCE_S = 1.2
STALL_S = 0.35


class RunFailedError(Exception):
    """The run failed; the engine may have worked on it."""

    def __init__(self, reason: str) -> None:
        super().__init__(reason)
        self.reason = reason


@dataclass
class OpenStream:
    """An answer whose head has arrived, ``head_ms`` after the send.

    An engine that reads the prompt itself sends the head after it.
    """

    engine_id: str
    status: int
    headers: list[tuple[str, str]]
    is_event_stream: bool
    _connection: EngineConnection
    _pool: EnginePool
    _clock: Clock
    head_ms: float = 0.0
    events_passed: int = 0
    _open: bool = True
    _first_s: float | None = field(default=None)
    _last_s: float = 0.0

    async def chunks(
        self,
        give_up_on_silence: bool = False,
        on_stall: Callable[[int], None] = lambda silent_ms: None,
    ) -> AsyncIterator[bytes]:
        """Yield the body; raises ``RunFailedError`` when it breaks.

        ``give_up_on_silence`` is for streams that can continue elsewhere.
        ``on_stall`` is called with the silent time while nothing arrives.
        """
        body = self._connection.read_body()
        while True:
            limit_s = SILENCE_S if give_up_on_silence else None
            if limit_s is not None and self._first_s is None:
                limit_s = FIRST_EVENT_TIMEOUT_S
            try:
                async with asyncio.timeout(limit_s):
                    chunk = await self._next(body, on_stall)
            except StopAsyncIteration:
                return
            except ConnectionBrokenError as error:
                raise RunFailedError(str(error)) from error
            except TimeoutError as error:
                raise RunFailedError("silent") from error
            self._last_s = self._clock.monotonic()
            if self._first_s is None:
                self._first_s = self._last_s
            yield chunk

    async def _next(
        self, body: AsyncIterator[bytes], on_stall: Callable[[int], None]
    ) -> bytes:
        """Return the next chunk and report each ``STALL_S`` without one."""
        pending = asyncio.ensure_future(anext(body))
        silent_s = 0.0
        try:
            while True:
                done, _ = await asyncio.wait({pending}, timeout=STALL_S)
                if done:
                    return pending.result()
                silent_s += STALL_S
                on_stall(int(silent_s * 1000))
        finally:
            pending.cancel()

    def finish(self) -> None:
        """Keep the connection after the whole answer was read."""
        self._open = False
        self._pool.give_back(self._connection)

    def abort_if_open(self) -> None:
        """End the run at the engine unless it has ended."""
        if self._open:
            self._open = False
            self._connection.abort()

    def mean_gap_ms(self, events: int) -> float:
        """Return the mean time between events, 0 when there were too few."""
        if events < 3 or self._first_s is None:
            return 0.0
        return (self._last_s - self._first_s) * 1000 / (events - 1)
