"""Signals that arrive while a process that has stopped is about to exit."""

import asyncio
import signal

__all__ = ["ignore_stop_signals"]


def ignore_stop_signals(loop: asyncio.AbstractEventLoop) -> None:
    """Let signals that arrive from now on not change the exit status.

    Closing the loop would restore their default action, which ends the
    process as if it had been killed.
    """
    for signal_number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
        loop.remove_signal_handler(signal_number)
        signal.signal(signal_number, signal.SIG_IGN)
