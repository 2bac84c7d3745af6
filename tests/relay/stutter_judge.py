"""Judges what callers get from servers that write earlier answers again."""

import asyncio
from collections import Counter
from collections.abc import Awaitable, Callable, Iterator
from itertools import cycle

import aiohttp

from .fakes import FakeEngine
from .relay_harness import RelayHarness, run_scenario
from .stutter import Copy, CopyTime, Exchange, Plan, as_chunked, without_id

__all__ = [
    "KINDS",
    "CopyMaker",
    "Judge",
    "prepare_answers",
    "stutter_scenario",
    "wait_for_idle_copies",
]

# Statuses with which a host promises that a request has not run.
PROMISES = (408, 421, 429, 503)
# Statuses with which a host says that a request may have run.
UNKNOWN = (502, 504)


KINDS = ("200", "404", "500", "refusal")


class Judge:
    """Compares what callers got with what servers answered and ran."""

    def __init__(self, harness: RelayHarness) -> None:
        self._harness = harness
        self._statuses_by_id: dict[str, list[int]] = {}
        self.faults: list[str] = []
        self.outcomes: Counter[str] = Counter()
        for proxy in harness.proxies_by_id.values():
            proxy.plan = self._record

    def use(self, engine: FakeEngine, plan: Plan) -> None:
        """Let an engine stutter as ``plan`` says."""

        def recorded(exchange: Exchange) -> Copy | None:
            self._record(exchange)
            return plan(exchange)

        self._harness.proxies_by_id[engine.id].plan = recorded

    def _record(self, exchange: Exchange) -> None:
        statuses = self._statuses_by_id.setdefault(exchange.request_id, [])
        statuses.append(exchange.status)

    def runs(self, request_id: str) -> int:
        """Return how often a request ran."""
        engines = self._harness.backend_servers + self._harness.decode_engines
        return sum(engine.runs.count(request_id) for engine in engines)

    async def send(self, route: str) -> int | None:
        """Send a request; record its faults and return its status."""
        request_id = self._harness.next_request_id()
        method = "GET" if route == "again" else "POST"
        status: int | None = None
        try:
            async with self._harness.send(
                route, method, X_Request_Id=request_id
            ) as response:
                status = response.status
                echoed = response.headers.get("X-Request-Id", request_id)
                await response.read()
            if echoed != request_id:
                self.faults.append(f"{request_id}: answer of {echoed}")
        except aiohttp.ClientError:
            pass
        ran = self.runs(request_id)
        given = self._statuses_by_id.get(request_id, [])
        if status in PROMISES and ran:
            self.faults.append(f"{request_id}: {status}, but it ran")
        elif status not in (None, *UNKNOWN, *PROMISES) and status not in given:
            self.faults.append(f"{request_id}: {status} instead of {given}")
        if ran > 1 and route == "once":
            self.faults.append(f"{request_id}: ran {ran} times")
        self.outcomes[str(status)] += 1
        return status


def stutter_scenario(
    scenario: Callable[[RelayHarness, Judge], Awaitable[None]],
) -> None:
    async def run(harness: RelayHarness) -> None:
        judge = Judge(harness)
        await scenario(harness, judge)
        assert judge.faults == []

    run_scenario(run, stuttering=True)


def cut_lengths(answer: bytes) -> Iterator[int]:
    """Return lengths of copies that are cut at each line and within it."""
    position = 0
    for line in answer.split(b"\r\n"):
        yield from (position + len(line) // 2, position + len(line))
        position += len(line) + 2


COPIES: dict[str, Callable[[bytes], bytes]] = {
    "same": lambda answer: answer,
    "without id": without_id,
    "chunked": as_chunked,
    "chunked without id": lambda answer: as_chunked(without_id(answer)),
}


class CopyMaker:
    """A plan that copies each answer in another way while it is active."""

    def __init__(self, time: CopyTime, *, cut: bool) -> None:
        self._time = time
        self._cut = cut
        self._changes = cycle(COPIES.values())
        self._made = 0
        self.active = True

    def plan(self, exchange: Exchange) -> Copy | None:
        if not self.active:
            return None
        data = next(self._changes)(exchange.answer)
        self._made += 1
        if self._cut:
            lengths = list(cut_lengths(data))
            data = data[: lengths[self._made % len(lengths)]]
        return Copy(data, self._time, delay_s=0.002)


def prepare_answers(engines: list[FakeEngine], kind: str) -> None:
    """Let engines give the next answers of a kind."""
    for engine in engines:
        engine.full = kind == "refusal"
        engine.status = int(kind) if kind != "refusal" else 200


async def wait_for_idle_copies(harness: RelayHarness) -> None:
    """Return when each proxy has written its answers and idle copies."""
    proxies = harness.proxies_by_id.values()
    async with asyncio.timeout(5.0):
        while any(proxy.exchanges_in_progress for proxy in proxies):
            await asyncio.sleep(0.001)
