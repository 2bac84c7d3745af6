"""Changes the configuration beside requests in each state, and counts losses.

Run by hand: ``python -m tests.soak.config_trial --help``. Changes follow each
other faster than hosts read them. Faults of the given kinds come beside them:
signals, pauses of servers, links that are cut, restarts of hosts, a store that
comes back from a copy.
"""

import asyncio
import random
import shutil
import signal
import tempfile
from collections import Counter
from pathlib import Path
from typing import Annotated

import typer
from tests.relay.fakes import FakeEngine
from tests.relay.relay_harness import LLM, PLAIN

from .config_callers import (
    DEADLINE_MS,
    ConfigCaller,
    EarlyClose,
    Ending,
    Exchange,
    Manner,
)
from .config_changes import (
    CHANGES,
    OTHER_LLM,
    OTHER_PLAIN,
    OTHER_TIMEOUTS_MS,
    TIMEOUT_MS,
    first_document,
    with_change,
)
from .loopback_proxy import LinkState
from .soak_harness import EVENTS, PROCESSING_S, SoakHarness

__all__ = ["FAULTS", "ConfigTrial", "log_errors", "main"]

ROUTES = (("once", "again"), ("story", "tale"))
CHANGE_PAUSE_S = (0.02, 0.9)
FAULT_PAUSE_S = (0.3, 1.2)
SILENCE_S = (0.6, 1.6)
CUT_S = (0.3, 2.0)
FAULTS = (
    "hangup",
    "pause",
    "break",
    "store_link",
    "peer_link",
    "restart",
    "kill",
    "copy",
)
# Time between two events of a stream, long enough for a queue.
GAP_S = 0.05
# An answer whose time is over ends this much later at most. Slow heads and
# bodies take the longest part of it.
TIMEOUT_SLACK_MS = 500.0
# Requests of a host that is killed or cut off are not counted from this long
# before to this long after it.
NEAR_S = 6.0
ERROR_SIGNS = ("Traceback", "level=error", "event=entry_unreadable")
LOST = (Ending.NO_ANSWER, Ending.BROKEN, Ending.LATE)


class ConfigTrial:
    """Callers in each manner beside changes of the given kinds."""

    def __init__(
        self,
        harness: SoakHarness,
        seed: int,
        kinds: tuple[str, ...],
        faults: tuple[str, ...] = (),
        callers_each: int = 2,
    ) -> None:
        self._harness = harness
        self._rng = random.Random(seed)
        self._kinds = kinds
        self._faults = faults
        self._document = first_document(100)
        self._version = 100
        # When each change was written.
        self.changes: list[tuple[float, str]] = []
        self._killed: list[tuple[float, str]] = []
        self._addresses = {host.host_id: host.callers for host in harness.hosts}
        self._others = [
            FakeEngine("reader2", "prefill"),
            FakeEngine("decode9", "decode"),
            FakeEngine("plain9"),
        ]
        self.callers = [
            ConfigCaller(
                f"{manner.value}{number}{routes[0]}",
                random.Random(self._rng.random()),
                self._addresses,
                manner,
                routes,
                lambda: float(self._document["limits"]["idle_timeout_ms"]) / 1000,
            )
            for manner in Manner
            for routes in ROUTES
            for number in range(callers_each)
        ]

    async def run(self, seconds: float) -> None:
        """Play changes and faults for a time and let the requests end."""
        for engine in self._others:
            engine.processing_s, engine.events = PROCESSING_S, EVENTS
            await engine.start()
            self._list(engine, OTHER_PLAIN if engine.stage is None else OTHER_LLM)
        for engine in self._harness.engines:
            self._list(engine, PLAIN if engine.stage is None else LLM)
        self._put(self._document)
        await asyncio.sleep(1.0)
        running = [asyncio.ensure_future(caller.run()) for caller in self.callers]
        work = [asyncio.ensure_future(self._change())]
        work.append(asyncio.ensure_future(self._harness.vary_processing(self._rng)))
        if self._faults:
            work.append(asyncio.ensure_future(self._disturb()))
        await asyncio.sleep(seconds)
        for caller in self.callers:
            caller.stopping = True
        await asyncio.gather(*running)
        for task in work:
            task.cancel()
        for engine in self._others:
            await engine.stop()

    def _list(self, engine: FakeEngine, service: str) -> None:
        """List an engine whose slots the configuration states."""
        engine.gap_s = GAP_S
        entry = engine.entry(service) | {"slots": 0}
        self._harness.store.put("servers", engine.id, entry)

    def _put(self, document: dict[str, object]) -> None:
        self._document = document
        self._harness.store.put("op", "config", document)

    async def _change(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(self._rng.uniform(*CHANGE_PAUSE_S))
            kind = self._rng.choice(self._kinds)
            self._version += self._rng.randint(1, 5)
            self._put(with_change(kind, self._version, self._rng))
            self.changes.append((loop.time(), kind))

    async def _disturb(self) -> None:
        while True:
            await asyncio.sleep(self._rng.uniform(*FAULT_PAUSE_S))
            await self._fault(self._rng.choice(self._faults))

    async def _fault(self, kind: str) -> None:
        harness, rng = self._harness, self._rng
        host = rng.choice(harness.hosts)
        match kind:
            case "hangup":
                host.send(signal.SIGHUP)
            case "break":
                engine = rng.choice(harness.engines)
                engine.break_after.append(rng.randint(1, 8))
            case "pause":
                engine = rng.choice(harness.engines)
                engine.responsive.clear()
                await asyncio.sleep(rng.uniform(*SILENCE_S))
                engine.responsive.set()
            case "store_link" | "peer_link":
                links = (
                    harness.peer_links if kind == "peer_link" else harness.store_links
                )
                link = links[host.host_id]
                link.state = rng.choice((LinkState.SILENT, LinkState.REFUSING))
                link.reset()
                await asyncio.sleep(rng.uniform(*CUT_S))
                link.state = LinkState.OPEN
                link.reset()
            case "copy":
                copied = harness.store.copy()
                await asyncio.sleep(rng.uniform(0.1, 1.0))
                harness.store.restore(copied)
                self._put(self._document | {"version": self._version + 1})
            case "restart" | "kill":
                address = self._addresses.pop(host.host_id)
                self._killed.append((asyncio.get_running_loop().time(), host.host_id))
                host.send(signal.SIGTERM if kind == "restart" else signal.SIGKILL)
                await host.wait_for_exit()
                await host.start()
                await harness.wait_until_ready()
                self._addresses[host.host_id] = address

    def exchanges(self) -> list[Exchange]:
        """Return all requests, without those at hosts that were killed."""
        return [
            item
            for caller in self.callers
            for item in caller.exchanges
            if not self._was_killed(item.host_id, item.ended_s)
        ]

    def early_closes(self) -> list[EarlyClose]:
        """Return the idle connections that were closed before their limit."""
        return [
            item
            for caller in self.callers
            for item in caller.early_closes
            if not self._was_killed(item.host_id, item.at_s)
        ]

    def _was_killed(self, host_id: str, at_s: float) -> bool:
        """Tell whether a host was stopped near a time."""
        return any(
            host_id == killed_id and abs(at_s - killed_s) < NEAR_S
            for killed_s, killed_id in self._killed
        )

    def lost(self) -> list[Exchange]:
        """Return the requests without a whole answer or a refusal."""
        return [
            item
            for item in self.exchanges()
            if item.ending in LOST and not self._may_break(item)
        ]

    def _may_break(self, item: Exchange) -> bool:
        """Tell whether an answer was broken off by a server or a timeout."""
        if item.ending is not Ending.BROKEN:
            return False
        took_ms = (item.ended_s - item.sent_s) * 1000
        timeouts_ms = (TIMEOUT_MS, *OTHER_TIMEOUTS_MS, DEADLINE_MS)
        return "break" in self._faults or any(
            0 <= took_ms - timeout_ms < TIMEOUT_SLACK_MS for timeout_ms in timeouts_ms
        )

    def beside(self, item: Exchange) -> list[str]:
        """Return the changes that were written beside a request."""
        return [
            kind
            for at_s, kind in self.changes
            if item.sent_s - 1.0 < at_s < item.ended_s
        ]


async def _run(
    folder: Path,
    hosts: int,
    seconds: float,
    seed: int,
    kinds: tuple[str, ...],
    faults: tuple[str, ...],
    callers_each: int,
) -> int:
    async with SoakHarness(folder, hosts) as harness:
        trial = ConfigTrial(harness, seed, kinds, faults, callers_each)
        await trial.run(seconds)
    exchanges, lost = trial.exchanges(), trial.lost()
    counts = Counter((item.manner, item.ending) for item in exchanges)
    for manner in Manner:
        row = {end.value: counts[manner, end] for end in Ending if counts[manner, end]}
        typer.echo(f"{manner.value}: {row}")
    statuses = Counter((item.route, item.status) for item in exchanges)
    typer.echo(f"statuses: {dict(sorted(statuses.items()))}")
    for item in lost:
        typer.echo(
            f"lost {item.request_id} {item.route} at {item.host_id}: "
            f"{item.ending.value} after {item.ended_s - item.sent_s:.2f} s beside "
            f"{Counter(trial.beside(item))}"
        )
    early = trial.early_closes()
    errors = log_errors(folder)
    typer.echo(
        f"seed {seed}: {len(exchanges)} requests, {len(trial.changes)} changes, "
        f"{len(lost)} lost, {len(early)} closed early {early[:3]}, "
        f"{len(errors)} errors in logs"
    )
    for line in errors[:5]:
        typer.echo(line)
    return len(lost) + len(early) + len(errors)


def log_errors(folder: Path) -> list[str]:
    """Return the lines of the hosts' logs that no change may cause."""
    return [
        f"{path.stem}: {line}"
        for path in sorted(folder.glob("*.log"))
        for line in path.read_text().splitlines()
        if any(sign in line for sign in ERROR_SIGNS)
    ]


def main(
    hosts: Annotated[int, typer.Option(min=1)] = 3,
    seconds: Annotated[float, typer.Option(help="Time of the callers.")] = 20.0,
    seed: int = 1,
    callers: Annotated[
        int, typer.Option(help="Callers of each manner and route.", min=1)
    ] = 2,
    kind: Annotated[
        list[str] | None, typer.Option(help="Kind of changes; all if none.")
    ] = None,
    fault: Annotated[
        list[str] | None, typer.Option(help="Kind of faults beside them.")
    ] = None,
) -> None:
    """Play changes and print the requests without an answer."""
    folder = Path(tempfile.mkdtemp(prefix="config-trial-"))
    found = asyncio.run(
        _run(
            folder,
            hosts,
            seconds,
            seed,
            tuple(kind or CHANGES),
            tuple(fault or ()),
            callers,
        )
    )
    if found:
        typer.echo(f"logs are kept in {folder}")
        raise typer.Exit(1)
    shutil.rmtree(folder)


if __name__ == "__main__":
    typer.run(main)
