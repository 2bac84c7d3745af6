"""Ordinary callers of a host, and whether their requests end in time."""

import asyncio

from case import Case
from entry_host import EntryHost

TIMEOUT_S = 1.5
# The rule allows an answer until half a second after the timeout.
LATE_S = 0.5
DEADLINE_MS = 3000
PERIOD_S = 0.1
# With fewer requests that are late the rule says nothing.
MIN_UNANSWERED = 8


class Reads:
    """Requests of other callers, one every tenth of a second."""

    def __init__(self, case: Case, host: EntryHost) -> None:
        self._case, self._host = case, host
        self.durations_s: list[float] = []

    async def run(self) -> None:
        """Send requests until cancelled, then wait for their answers."""
        sent: list[asyncio.Task[None]] = []
        try:
            while True:
                sent.append(asyncio.create_task(self._read(len(sent))))
                await asyncio.sleep(PERIOD_S)
        finally:
            await asyncio.gather(*sent)

    async def _read(self, number: int) -> None:
        began_s = self._case.now_s()
        await self._case.send(
            self._host, f"read-{number}", "GET", "/read/1", DEADLINE_MS
        )
        self.durations_s.append(self._case.now_s() - began_s)


async def watch_readiness(case: Case, host: EntryHost) -> None:
    """Ask once a second, as the platform does."""
    while True:
        if not await host.is_ready():
            case.note(f"{host.name} does not answer the readiness check")
        await asyncio.sleep(1.0)


def is_hung(case: Case, reads: Reads) -> bool:
    """Tell whether more than half of the late requests stay unanswered."""
    unanswered = sum(item > TIMEOUT_S for item in reads.durations_s)
    late = sum(item > TIMEOUT_S + LATE_S for item in reads.durations_s)
    case.note(
        f"reads: {len(reads.durations_s)}, unanswered at their timeout: {unanswered}, "
        f"half a second later: {late}, longest {max(reads.durations_s):.2f} s"
    )
    return unanswered >= MIN_UNANSWERED and late > unanswered / 2
