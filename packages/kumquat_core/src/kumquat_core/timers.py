"""The timer service: parts subscribe to periodic calls.

One task drives all subscriptions. A callback that raises is logged and does
not stop the others. Tests call ``tick`` with a manual clock.
"""

import asyncio
import logging
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from .clock import Clock
from .log_events import log_event

__all__ = ["Subscription", "TimerService"]

RESOLUTION_S = 0.02

logger = logging.getLogger(__name__)

Callback = Callable[[], Awaitable[None]]


@dataclass(eq=False)
class Subscription:
    """A periodic call; ``cancel`` ends it."""

    name: str
    period_s: float
    callback: Callback
    due_s: float
    cancelled: bool = False
    running: "asyncio.Task[None] | None" = None

    def cancel(self) -> None:
        """Stop further calls; a call in progress ends normally."""
        self.cancelled = True


class TimerService:
    """Calls subscribed callbacks at their periods.

    A callback still running when its next turn comes is not started twice.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._subscriptions: list[Subscription] = []

    def every(self, period_s: float, callback: Callback, name: str) -> Subscription:
        """Call ``callback`` each ``period_s`` seconds from one period on."""
        due_s = self._clock.monotonic() + period_s
        subscription = Subscription(name, period_s, callback, due_s)
        self._subscriptions.append(subscription)
        return subscription

    async def run(self) -> None:
        """Drive the subscriptions until cancelled."""
        try:
            while True:
                self.tick(self._clock.monotonic())
                await asyncio.sleep(RESOLUTION_S)
        finally:
            self._cancel_running()

    def tick(self, now_s: float) -> list["asyncio.Task[None]"]:
        """Start every callback that is due and return the started tasks."""
        self._subscriptions = [s for s in self._subscriptions if not s.cancelled]
        started = []
        for subscription in self._subscriptions:
            if subscription.due_s > now_s:
                continue
            subscription.due_s = now_s + subscription.period_s
            if subscription.running is not None and not subscription.running.done():
                continue
            subscription.running = asyncio.ensure_future(self._call(subscription))
            started.append(subscription.running)
        return started

    async def _call(self, subscription: Subscription) -> None:
        try:
            await subscription.callback()
        except Exception as error:
            log_event(
                logger,
                "timer_callback_failed",
                level=logging.ERROR,
                timer=subscription.name,
                error=repr(error),
            )

    def _cancel_running(self) -> None:
        for subscription in self._subscriptions:
            if subscription.running is not None:
                subscription.running.cancel()
