"""Tests of the signals of an entry host process.

They guard against a stop that waits for a start, which takes long while the
store is away, and against a SIGHUP that ends the process.
"""

import asyncio
import os
import signal

import pytest

from kumquatrouter import main


class FakeHost:
    """A host whose start ends when ``started`` is set."""

    def __init__(self) -> None:
        self.started = asyncio.Event()
        self.calls: list[str] = []

    async def start(self) -> None:
        self.calls.append("start")
        await self.started.wait()

    async def drain(self) -> bool:
        self.calls.append("drain")
        return True

    async def stop(self, reason: str) -> None:
        self.calls.append(reason)


def run_with_signals(monkeypatch, *numbers: int, started: bool) -> tuple[int, FakeHost]:
    async def scenario() -> tuple[int, FakeHost]:
        host = FakeHost()
        if started:
            host.started.set()
        monkeypatch.setattr(main.EntryHost, "from_config", lambda _: host)
        run = asyncio.create_task(main._run(None))
        await asyncio.sleep(0.02)
        for number in numbers:
            os.kill(os.getpid(), number)
            await asyncio.sleep(0.02)
        async with asyncio.timeout(2.0):
            return await run, host

    return asyncio.run(scenario())


def test_host_that_is_told_to_stop_while_it_starts_stops_at_once(monkeypatch):
    code, host = run_with_signals(monkeypatch, signal.SIGTERM, started=False)
    assert (code, host.calls) == (0, ["start", "stopped_at_start"])


@pytest.mark.parametrize("first", [signal.SIGTERM, signal.SIGINT])
def test_signal_drains_the_host_although_it_was_told_to_reload(monkeypatch, first):
    code, host = run_with_signals(monkeypatch, signal.SIGHUP, first, started=True)
    assert (code, host.calls) == (0, ["start", "drain", "drained"])
