"""Tests of the signals of an entry host process.

They guard against a stop that waits for a start, which takes long while the
store is away, and against a SIGHUP that ends the process or whose limit of the
drain is not followed.
"""

import asyncio
import os
import signal
from collections.abc import Iterable
from dataclasses import replace
from pathlib import Path

import pytest
from test_caller_api import SETTINGS

from kumquat_core.result_codes import ResultCode, RouterError
from kumquat_core.settings import Options
from kumquatrouter import main

OPTIONS = Options.from_settings(SETTINGS, b"key")


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

    def change_drain_limit(self, limit_s: float) -> None:
        self.calls.append(f"limit {limit_s}")


def run_with_signals(
    monkeypatch, *numbers: int, started: bool, limits: Iterable[float | None] = ()
) -> tuple[int, FakeHost]:
    """Run with signals; each reload finds the next limit, None an error."""
    found = iter(limits)

    def load_options(_: Path) -> Options:
        limit_s = next(found, OPTIONS.limits.drain_limit_s)
        if limit_s is None:
            raise RouterError(ResultCode.SETTINGS_INVALID)
        limits = replace(OPTIONS.limits, drain_limit_s=limit_s)
        return replace(OPTIONS, limits=limits)

    monkeypatch.setattr(main, "load_options", load_options)

    async def scenario() -> tuple[int, FakeHost]:
        host = FakeHost()
        if started:
            host.started.set()
        monkeypatch.setattr(main.EntryHost, "from_config", lambda _: host)
        run = asyncio.create_task(main._run(OPTIONS, Path()))
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


def test_reload_follows_a_limit_that_has_changed(monkeypatch):
    hangups = [signal.SIGHUP] * 4
    code, host = run_with_signals(
        monkeypatch,
        *hangups,
        signal.SIGTERM,
        started=True,
        limits=[9.0, 9.0, None, 12.0],
    )
    assert code == 0
    assert host.calls == ["start", "limit 9.0", "limit 12.0", "drain", "drained"]
