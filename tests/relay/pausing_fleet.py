"""Streams and plain requests while sound engines fall silent for a second.

Each engine is behind a proxy that holds back all bytes during a pause, as an
engine does that is sound but busy with something else. Nothing else fails.
"""

import argparse
import asyncio
import logging
import random
from collections import Counter
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass, field

import aiohttp
from tests.soak.loopback_proxy import LinkState, LoopbackProxy

from kumquat_core.log_events import KeyValueFormatter

from .fakes import FakeEngine
from .relay_harness import RelayHarness, configuration

__all__ = ["PausingFleet", "PauseTrial", "Tally", "run_fleet"]

# The pauses of sound engines, seconds.
MIN_PAUSE_S, MAX_PAUSE_S = 0.6, 1.6
TIMEOUT_MS = 6000
EVENTS = 12


class PausingFleet:
    """A harness whose engines are reached through pausing proxies."""

    def __init__(self, harness: RelayHarness) -> None:
        self.harness = harness
        self.links_by_engine: dict[str, LoopbackProxy] = {}

    async def start(self, max_attempts: int) -> None:
        harness = self.harness
        for engine in self.engines:
            link = LoopbackProxy(engine.address)
            await link.start()
            self.links_by_engine[engine.id] = link
            engine.advertised_address = link.address
            harness.list_engine(engine)
        document = configuration(version=4)
        for route in document["routes"]:
            route |= {"max_attempts": max_attempts, "timeout_ms": TIMEOUT_MS}
        harness.store.put("op", "config", document)
        state = harness.host._parts.cluster_state
        await harness.wait_until(
            lambda: (
                state.routes is not None
                and state.routes.version == 4
                and all(
                    (entry := state.registry.get(engine_id)) is not None
                    and entry.address == link.address
                    for engine_id, link in self.links_by_engine.items()
                )
            )
        )

    async def stop(self) -> None:
        for link in self.links_by_engine.values():
            await link.stop()

    @property
    def engines(self) -> list[FakeEngine]:
        harness = self.harness
        return [
            harness.prefill_engine,
            *harness.decode_engines,
            *harness.backend_servers,
        ]

    async def pause(self, engine: FakeEngine, pause_s: float) -> None:
        """Hold back all bytes from and to an engine for a time."""
        link = self.links_by_engine[engine.id]
        link.state = LinkState.SILENT
        await asyncio.sleep(pause_s)
        link.state = LinkState.OPEN


@asynccontextmanager
async def _started(fleet: PausingFleet, max_attempts: int) -> AsyncIterator[None]:
    await fleet.start(max_attempts)
    try:
        yield
    finally:
        await fleet.stop()


def run_fleet(
    scenario: Callable[[PausingFleet], Awaitable[None]],
    *,
    max_attempts: int = 2,
    decode_engines: int = 2,
    host_count: int = 1,
) -> None:
    """Run a scenario with a new harness and fleet."""

    async def run() -> None:
        async with RelayHarness(host_count, decode_engines) as harness:
            fleet = PausingFleet(harness)
            async with _started(fleet, max_attempts):
                await scenario(fleet)

    asyncio.run(run())


@dataclass
class Tally:
    """Outcomes of the requests of a trial; ``faults`` names the bad ones."""

    sent: int = 0
    answered: int = 0
    refused: int = 0
    faults: list[str] = field(default_factory=list)


class _LogLines(logging.Handler):
    def __init__(self) -> None:
        super().__init__()
        self.setFormatter(KeyValueFormatter())
        self.lines: list[str] = []

    def emit(self, record: logging.LogRecord) -> None:
        self.lines.append(self.format(record))


@dataclass
class PauseTrial:
    """Requests at a rate while engines pause at random times."""

    fleet: PausingFleet
    rng: random.Random
    rate_per_s: float
    seconds: float
    paused: list[FakeEngine]
    routes: list[str]
    period_s: float = 3.0
    tally: Tally = field(default_factory=Tally)

    async def run(self) -> Tally:
        log = _LogLines()
        logger = logging.getLogger()
        level = logger.level
        logger.addHandler(log)
        logger.setLevel(logging.INFO)
        try:
            pauses = [
                asyncio.ensure_future(self._pause_again(engine))
                for engine in self.paused
            ]
            await self._send_all()
            for pause in pauses:
                pause.cancel()
            await asyncio.gather(*pauses, return_exceptions=True)
        finally:
            logger.removeHandler(log)
            logger.setLevel(level)
        self.log = log.lines
        return self.tally

    def log_of(self, request_id: str) -> list[str]:
        """Return the log lines of a request."""
        return [line for line in self.log if f"request={request_id}" in line]

    async def _pause_again(self, engine: FakeEngine) -> None:
        while True:
            await asyncio.sleep(self.rng.expovariate(1 / self.period_s))
            pause_s = self.rng.uniform(MIN_PAUSE_S, MAX_PAUSE_S)
            await self.fleet.pause(engine, pause_s)

    async def _send_all(self) -> None:
        loop = asyncio.get_running_loop()
        end_s = loop.time() + self.seconds
        requests = []
        while loop.time() < end_s:
            requests.append(asyncio.ensure_future(self._request()))
            await asyncio.sleep(self.rng.expovariate(self.rate_per_s))
        await asyncio.gather(*requests)

    async def _request(self) -> None:
        harness, tally = self.fleet.harness, self.tally
        route = self.rng.choice(self.routes)
        host = self.rng.choice(harness.hosts)
        request_id = harness.next_request_id()
        tally.sent += 1
        method = "GET" if route == "again" else "POST"
        try:
            async with harness.send(
                route,
                method,
                host=host,
                X_Request_Id=request_id,
                X_Deadline_Ms=str(TIMEOUT_MS),
                X_Token_Counts="200,60",
                X_Prefix_Hash=f"{request_id[2:]:0>4}:200",
            ) as response:
                body = await response.read()
                status = response.status
        except aiohttp.ClientError as error:
            tally.faults.append(f"{request_id} {route} {type(error).__name__}")
            return
        if status == 200 and (route in ("once", "again") or self._is_whole(body)):
            tally.answered += 1
        elif status == 503:
            tally.refused += 1
        else:
            tally.faults.append(f"{request_id} {route} {status} {body!r}")

    def _is_whole(self, body: bytes) -> bool:
        expected = "".join(f"id: {n}\ndata: e{n}\n\n" for n in range(1, EVENTS + 1))
        return body == expected.encode()


def pace_streams(harness: RelayHarness, gap_s: float) -> None:
    """Let the decode engines stream ``EVENTS`` events, ``gap_s`` apart."""
    for engine in harness.decode_engines:
        engine.events, engine.gap_s = EVENTS, gap_s


def main() -> None:
    """Play a trial by hand: streams while the decode engines pause."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=60)
    parser.add_argument("--rate", type=float, default=25)
    parser.add_argument("--attempts", type=int, default=2)
    parser.add_argument("--engines", type=int, default=4)
    parser.add_argument("--hosts", type=int, default=1)
    parser.add_argument("--period", type=float, default=3.0)
    parser.add_argument("--routes", default="story")
    parser.add_argument("--pause", default="decode", help="decode, prefill, plain")
    arguments = parser.parse_args()

    async def scenario(fleet: PausingFleet) -> None:
        harness = fleet.harness
        pace_streams(harness, 0.05)
        kinds = {
            "decode": harness.decode_engines,
            "prefill": [harness.prefill_engine],
            "plain": harness.backend_servers,
        }
        trial = PauseTrial(
            fleet,
            random.Random(arguments.seed),
            arguments.rate,
            arguments.seconds,
            [e for kind in arguments.pause.split(",") for e in kinds[kind]],
            arguments.routes.split(","),
            arguments.period,
        )
        tally = await trial.run()
        runs = [run for engine in fleet.engines for run in engine.runs]
        print(f"sent={tally.sent} answered={tally.answered} refused={tally.refused}")
        print(f"runs={len(runs)} faults={len(tally.faults)}")
        for event in (
            "run_broken",
            "run_rejected",
            "standby_run_requested",
            "standby_run_used",
            "engine_avoided",
            "not_reserved",
            "not_connected",
            "owner_begins",
            "engine_crash_checked",
        ):
            print(event, sum(f"event={event}" in line for line in trial.log))
        ends = (line for line in trial.log if "event=request_ended" in line)
        print(Counter(line.partition(" reason=")[2].split()[0] for line in ends))
        for fault in tally.faults[:5]:
            print(fault, *trial.log_of(fault.split()[0]), sep="\n  ")

    run_fleet(
        scenario,
        max_attempts=arguments.attempts,
        decode_engines=arguments.engines,
        host_count=arguments.hosts,
    )


if __name__ == "__main__":
    main()
