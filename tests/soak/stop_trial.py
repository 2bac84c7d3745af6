"""Stops hosts in turn under callers that never pause, and counts losses.

Run by hand: ``python -m tests.soak.stop_trial --help``. The callers keep
their connections until a host closes them, send the next request as soon as
they have a response, and go to another host after a refusal, as the platform's
clients do.
"""

import asyncio
import math
import random
import shutil
import signal
import tempfile
import zlib
from collections import Counter
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated

import typer
from tests.relay.relay_harness import HOST

from kumquat_core.settings import Address

from .callers import PLAIN_ROUTES
from .soak_harness import SoakHarness
from .stream_load import SECOND_ROUTES, disturb_streams, use_second_service

__all__ = ["BusyCaller", "StopTrial", "main"]

READ_TIMEOUT_S = 12.0
CONNECT_TIMEOUT_S = 1.0
# Callers give a request up after so many attempts.
MAX_ATTEMPTS = 4
PAUSE_AFTER_FAILURE_S = 0.05
HEAD_END = b"\r\n\r\n"
LAST_CHUNK = b"0\r\n\r\n"
REPEATABLE_ROUTES = ("again", "story", "story2")
ROTATION_S = 2.2
DEADLINE_MARGIN_S = 0.1
# Part of the requests after which a caller opens a new connection, so that
# callers don't gather at the hosts that are not stopping.
RENEWAL_SHARE = 0.5


@dataclass(frozen=True)
class Attempt:
    """One attempt of a request.

    ``status`` is 0 if the connection was closed, -1 if it was never opened.
    """

    request_id: str
    route: str
    host_id: str
    sent_s: float
    ended_s: float
    status: int


class BusyCaller:
    """Sends one request after the other over connections that it keeps.

    ``addresses_by_host`` holds the hosts that take new connections; the caller
    stays with a host until its connection is closed.
    """

    def __init__(
        self,
        name: str,
        rng: random.Random,
        addresses_by_host: dict[str, Address],
        routes: tuple[str, ...] = PLAIN_ROUTES,
        deadline_ms: int | None = None,
        pause_s: float = 0.0,
    ) -> None:
        self._name = name
        self._rng = rng
        self._addresses_by_host = addresses_by_host
        self._routes = routes
        self._deadline_ms = deadline_ms
        self._pause_s = pause_s
        self._host_id = ""
        self._streams: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None = None
        self.attempts: list[Attempt] = []
        # The status of the last attempt of each request.
        self.final_statuses: list[int] = []
        self.stopping = False

    async def run(self) -> None:
        """Send requests until ``stopping`` is set."""
        while not self.stopping:
            await self._request()
            if self._pause_s:
                await asyncio.sleep(self._rng.expovariate(1 / self._pause_s))
        self._disconnect()

    async def _request(self) -> None:
        """Send one request until it has a final response."""
        route = self._rng.choice(self._routes)
        status = 0
        for _ in range(MAX_ATTEMPTS):
            status = await self._attempt(route)
            if status not in (-1, 0, 429, 503) or (
                status == 0 and route not in REPEATABLE_ROUTES
            ):
                break
            await asyncio.sleep(PAUSE_AFTER_FAILURE_S)
        self.final_statuses.append(status)

    async def _attempt(self, route: str) -> int:
        loop = asyncio.get_running_loop()
        request_id = f"{self._name}-{len(self.attempts)}"
        sent_s, status = loop.time(), -1
        try:
            async with asyncio.timeout(READ_TIMEOUT_S):
                reader, writer = await self._connect()
                sent_s, status = loop.time(), 0
                writer.write(self._request_bytes(route, request_id))
                status, closes = await _read_response(reader)
            if closes or self._rng.random() < RENEWAL_SHARE:
                self._disconnect()
        except (OSError, EOFError, TimeoutError):
            self._disconnect()
        attempt = Attempt(request_id, route, self._host_id, sent_s, loop.time(), status)
        self.attempts.append(attempt)
        return status

    async def _connect(self) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        if self._streams is None:
            self._host_id = self._rng.choice(sorted(self._addresses_by_host))
            address = self._addresses_by_host[self._host_id]
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                self._streams = await asyncio.open_connection(address.ip, address.port)
        return self._streams

    def _disconnect(self) -> None:
        if self._streams is not None:
            self._streams[1].transport.abort()
        self._streams = None

    def _request_bytes(self, route: str, request_id: str) -> bytes:
        deadline = (
            f"X-Deadline-Ms: {self._deadline_ms}\r\n" if self._deadline_ms else ""
        )
        body = request_id.encode()
        head = (
            f"POST /{route}/p%2Fq?x=1 HTTP/1.1\r\nHost: {HOST}\r\n"
            f"X-Request-Id: {request_id}\r\n{deadline}"
            "X-Model: m\r\nX-Token-Counts: 5000,6000\r\n"
            f"X-Prefix-Hash: ab:200,{zlib.crc32(body):x}:4600\r\n"
            f"Content-Length: {len(body)}\r\n\r\n"
        )
        return head.encode() + body


async def _read_response(reader: asyncio.StreamReader) -> tuple[int, bool]:
    """Return the status of a response and whether the connection closes."""
    head = (await reader.readuntil(HEAD_END)).decode("latin-1").lower()
    lines = head.split("\r\n")
    if "transfer-encoding: chunked" in lines:
        await reader.readuntil(LAST_CHUNK)
    else:
        length = next(
            int(line.partition(":")[2])
            for line in lines
            if line[:15] == "content-length:"
        )
        await reader.readexactly(length)
    return int(lines[0].split(" ")[1]), "connection: close" in lines


class StopTrial:
    """Hosts that are stopped in turn while callers send requests.

    ``slow_s`` is the range of the time that servers take from the first stop
    on. Unless ``rotates`` is set, callers open new connections to a stopping
    host for as long as it accepts any, as they do where fewer than half of the
    hosts of a zone are in rotation.
    """

    def __init__(
        self,
        harness: SoakHarness,
        callers: int,
        slow_s: tuple[float, float],
        seed: int = 1,
        deadline_ms: int | None = None,
        *,
        rotates: bool = False,
        routes: tuple[str, ...] = PLAIN_ROUTES,
    ) -> None:
        self._harness = harness
        self._deadline_ms = deadline_ms
        self._rotates = rotates
        self._slow_s = slow_s
        self._rng = random.Random(seed)
        self._addresses = {host.host_id: host.callers for host in harness.hosts}
        self.callers = [
            BusyCaller(
                f"c{number}",
                random.Random(self._rng.random()),
                self._addresses,
                routes,
                deadline_ms=deadline_ms,
            )
            for number in range(callers)
        ]
        self.stop_times: list[float] = []
        self._tasks: list[asyncio.Task[None]] = []

    async def start(self) -> None:
        """Start the callers."""
        self._tasks = [asyncio.ensure_future(item.run()) for item in self.callers]

    async def slow_down(self) -> None:
        """Let servers take a new random time every few milliseconds."""
        while True:
            for engine in self._harness.engines:
                engine.processing_s = self._rng.uniform(*self._slow_s)
                engine.gap_s = engine.processing_s / engine.events
            await asyncio.sleep(0.01)

    async def stop_host(self, host_id: str) -> float:
        """Stop a host, start it again and return how long it took to exit."""
        loop = asyncio.get_running_loop()
        (host,) = [item for item in self._harness.hosts if item.host_id == host_id]
        began_s = loop.time()
        host.send(signal.SIGTERM)
        removal = None
        if self._rotates:
            removal = loop.call_later(ROTATION_S, self._addresses.pop, host_id, None)
        assert await host.wait_for_exit() == 0
        took_s = loop.time() - began_s
        self.stop_times.append(took_s)
        if removal is not None:
            removal.cancel()
            self._addresses.pop(host_id, None)
        await host.start()
        await self._harness.wait_until_ready()
        self._addresses[host_id] = host.callers
        return took_s

    async def end(self) -> None:
        """Stop the callers and wait for their last responses."""
        for caller in self.callers:
            caller.stopping = True
        await asyncio.gather(*self._tasks)

    @property
    def attempts(self) -> list[Attempt]:
        """Return all attempts of all callers."""
        return [item for caller in self.callers for item in caller.attempts]

    def cut(self) -> list[Attempt]:
        """Return the attempts that ran but whose callers got no response.

        A stream that has begun is broken off at its deadline.
        """
        ran = {run for engine in self._harness.engines for run in engine.runs}
        return [
            item
            for item in self.closed()
            if item.request_id in ran
            and (item.route in PLAIN_ROUTES or not self._at_deadline(item))
        ]

    def _at_deadline(self, item: Attempt) -> bool:
        """Tell whether an attempt lasted until its deadline."""
        deadline_s = (self._deadline_ms or math.inf) / 1000
        return item.ended_s - item.sent_s >= deadline_s - DEADLINE_MARGIN_S

    def closed(self) -> list[Attempt]:
        """Return the attempts whose connection was closed unanswered."""
        return [item for item in self.attempts if item.status == 0]


@dataclass(frozen=True)
class _TrialOptions:
    """The options of one trial, as in the help of the command."""

    hosts: int
    callers: int
    slow_s: tuple[float, float]
    timeout_ms: int
    grace_s: float
    rotates: bool
    together: int
    routes: tuple[str, ...]
    seed: int
    pauses: bool
    breaks: bool


async def _run(folder: Path, options: _TrialOptions) -> int:
    harness = SoakHarness(folder, options.hosts, options.grace_s)
    edit = None
    if set(options.routes).intersection(SECOND_ROUTES):
        edit = use_second_service(harness)
    async with harness:
        harness.change_configuration(options.timeout_ms, edit)
        for route_engine in harness.engines:
            route_engine.processing_s = 0.06
        await asyncio.sleep(1.5)
        trial = StopTrial(
            harness,
            options.callers,
            options.slow_s,
            options.seed,
            options.timeout_ms,
            rotates=options.rotates,
            routes=options.routes,
        )
        await trial.start()
        await asyncio.sleep(1.0)
        rng = random.Random(options.seed)
        tasks = [
            asyncio.ensure_future(trial.slow_down()),
            asyncio.ensure_future(
                disturb_streams(
                    harness, rng, pauses=options.pauses, breaks=options.breaks
                )
            ),
        ]
        host_ids = [host.host_id for host in harness.hosts]
        for first in range(0, len(host_ids), options.together):
            group = host_ids[first : first + options.together]
            await asyncio.gather(*(trial.stop_host(item) for item in group))
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        await trial.end()
    _report(folder, trial)
    return len(trial.cut())


def _report(folder: Path, trial: StopTrial) -> None:
    cut = trial.cut()
    cut_by_route = Counter(item.route for item in cut)
    statuses = Counter(
        status for caller in trial.callers for status in caller.final_statuses
    )
    times = " ".join(f"{value:.2f}" for value in trial.stop_times)
    typer.echo(
        f"{len(trial.attempts)} attempts, cut {len(cut)} {dict(cut_by_route)}, "
        f"closed unrun {len(trial.closed()) - len(cut)}, "
        f"not connected {sum(item.status < 0 for item in trial.attempts)}, "
        f"refused {sum(item.status == 503 for item in trial.attempts)}; "
        f"final {dict(sorted(statuses.items()))}; exits after {times} s"
    )
    for item in cut:
        typer.echo(f"cut {item.request_id} {item.route} at {item.host_id}")
    for path in sorted(folder.glob("*.log")):
        for line in path.read_text().splitlines():
            if "event=exit_decided" in line or "event=connections_closed" in line:
                typer.echo(f"{path.stem} {line.partition('event=')[2]}")


def main(
    hosts: Annotated[int, typer.Option(min=1)] = 3,
    callers: Annotated[int, typer.Option(min=1)] = 60,
    fastest: Annotated[float, typer.Option(help="Shortest time of servers, s.")] = 0.3,
    slowest: Annotated[float, typer.Option(help="Longest time of servers, s.")] = 1.9,
    timeout_ms: Annotated[int, typer.Option(help="Timeout of all routes.")] = 2000,
    grace_s: Annotated[float, typer.Option(help="Grace period of hosts.")] = 8.0,
    rotates: Annotated[
        bool, typer.Option(help="Whether a stopping host gets no new callers.")
    ] = False,
    together: Annotated[int, typer.Option(help="Hosts stopped at once.", min=1)] = 1,
    routes: Annotated[
        str, typer.Option(help="Routes of the callers, with commas.")
    ] = ",".join(PLAIN_ROUTES),
    seed: Annotated[int, typer.Option(help="Seed of callers and servers.")] = 1,
    pauses: Annotated[
        bool, typer.Option(help="Whether engines fall silent and go on.")
    ] = False,
    breaks: Annotated[
        bool, typer.Option(help="Whether engines break streams.")
    ] = False,
) -> None:
    """Stop all hosts in turn and print how many requests were cut."""
    folder = Path(tempfile.mkdtemp(prefix="stops-"))
    options = _TrialOptions(
        hosts,
        callers,
        (fastest, slowest),
        timeout_ms,
        grace_s,
        rotates,
        together,
        tuple(routes.split(",")),
        seed,
        pauses,
        breaks,
    )
    cut = asyncio.run(_run(folder, options))
    if cut:
        typer.echo(f"logs are kept in {folder}")
        raise typer.Exit(1)
    shutil.rmtree(folder)


if __name__ == "__main__":
    typer.run(main)
