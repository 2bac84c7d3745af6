"""The timer service, which runs callbacks periodically.

One task drives all subscriptions. An exception of a callback is logged and
does not affect the others. Tests call ``tick`` with a manual clock.
"""

import asyncio
import logging
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from .clock import Clock
from .log_events import log_event

__all__ = ["RESOLUTION_S", "Subscription", "TimerService"]

RESOLUTION_S = 0.02

logger = logging.getLogger(__name__)

Callback = Callable[[], Awaitable[None]]


@dataclass(eq=False)
class Subscription:
    """A callback that is run periodically until ``cancel`` is called."""

    name: str
    period_s: float
    callback: Callback
    due_s: float
    cancelled: bool = False
    running: "asyncio.Task[None] | None" = None

    def cancel(self) -> None:
        """Prevent further calls; a call in progress is not interrupted."""
        self.cancelled = True


class TimerService:
    """Runs each subscribed callback once per period.

    A period is skipped if the callback's previous call is still running.
    ``on_pass`` is called in each pass, ``RESOLUTION_S`` after the one before
    unless the event loop is late.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._subscriptions: list[Subscription] = []
        self.on_pass: Callable[[], None] = lambda: None

    def every(self, period_s: float, callback: Callback, name: str) -> Subscription:
        """Run ``callback`` every ``period_s`` seconds from one period on."""
        due_s = self._clock.monotonic() + period_s
        subscription = Subscription(name, period_s, callback, due_s)
        self._subscriptions.append(subscription)
        return subscription

    async def run(self) -> None:
        """Run due callbacks until cancelled, then cancel those in progress."""
        try:
            while True:
                self.on_pass()
                self.tick(self._clock.monotonic())
                await asyncio.sleep(RESOLUTION_S)
        finally:
            self._cancel_running()

    def tick(self, now_s: float) -> list["asyncio.Task[None]"]:
        """Start all callbacks that are due and return their tasks."""
        self._subscriptions = [s for s in self._subscriptions if not s.cancelled]
        started = []
        for subscription in self._subscriptions:
            if subscription.due_s > now_s:
                continue
            subscription.due_s = now_s + subscription.period_s
            if subscription.running is not None and not subscription.running.done():
                continue
            subscription.running = asyncio.ensure_future(
                self._run_callback(subscription)
            )
            started.append(subscription.running)
        return started

    async def _run_callback(self, subscription: Subscription) -> None:
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
