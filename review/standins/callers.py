"""Callers, and the verdict of a rule on what they got."""

import asyncio
import time
from dataclasses import dataclass, field

import aiohttp

__all__ = ["Attempt", "Callers", "judge_timeouts"]

HOST = "ficu95.example"
MODEL_HEADERS = {
    "X-Model": "m",
    "X-Token-Counts": "5000,80",
    "X-Prefix-Hash": "5c1e07a2:200,e4402b7d:4800",
}


@dataclass
class Attempt:
    """One request as its caller sees it; monotonic seconds."""

    id: str
    route: str
    sent_s: float
    ended_s: float = 0.0
    status: int = 0
    outcome: str = ""
    has_seal: bool = False

    @property
    def took_s(self) -> float:
        """Return the time until the final answer, or until the caller left."""
        return self.ended_s - self.sent_s


@dataclass
class Callers:
    """Sends requests to one host, each on a connection of its own."""

    address: str
    attempts: list[Attempt] = field(default_factory=list)
    _tasks: list["asyncio.Task[None]"] = field(default_factory=list)

    def send(
        self, route: str, deadline_ms: int, *, leaves_after_s: float | None = None
    ) -> None:
        """Send a request; the caller leaves at its deadline, or before."""
        number = len(self.attempts) + 1
        attempt = Attempt(f"{number:016x}", route, time.monotonic())
        self.attempts.append(attempt)
        patience_s = leaves_after_s or deadline_ms / 1000
        self._tasks.append(
            asyncio.ensure_future(self._run(attempt, deadline_ms, patience_s))
        )

    async def wait(self) -> None:
        """Wait until all requests have ended."""
        await asyncio.gather(*self._tasks)

    async def _run(self, attempt: Attempt, deadline_ms: int, patience_s: float) -> None:
        headers = {
            "Host": HOST,
            "X-Request-Id": attempt.id,
            "X-Deadline-Ms": str(deadline_ms),
        }
        if attempt.route == "stelllogg":
            headers |= MODEL_HEADERS
        connector = aiohttp.TCPConnector(force_close=True)
        try:
            async with (
                asyncio.timeout(patience_s),
                aiohttp.ClientSession(connector=connector) as session,
                session.post(
                    f"http://{self.address}/{attempt.route}/2f",
                    data=b"b" * 600,
                    headers=headers,
                ) as response,
            ):
                await response.read()
                attempt.status = response.status
                attempt.has_seal = "X-Response-Seal" in response.headers
                attempt.outcome = str(response.status)
        except TimeoutError:
            attempt.outcome = "left without an answer"
        except aiohttp.ClientError as error:
            attempt.outcome = f"broken: {type(error).__name__}"
        attempt.ended_s = time.monotonic()


def judge_timeouts(attempts: list[Attempt], timeout_s: float) -> tuple[bool, str]:
    """Return whether CONFIG is broken by requests that last too long.

    It is if, of the requests without an answer at the timeout of their route,
    more than half have none half a second later, and these are eight or more.
    """
    open_at = [item for item in attempts if item.took_s > timeout_s]
    still = [
        item
        for item in open_at
        if item.took_s > timeout_s + 0.5 or item.outcome.startswith("left")
    ]
    broken = len(still) >= 8 and len(still) * 2 > len(open_at)
    text = (
        f"{len(attempts)} requests, {len(open_at)} without an answer at "
        f"{timeout_s:g} s, {len(still)} of these without one half a second later"
    )
    return broken, text
