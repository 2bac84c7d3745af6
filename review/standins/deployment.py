"""A small deployment for a case: store, engines, one host, and a record."""

import asyncio
import os
import tempfile
import time
from collections.abc import Awaitable, Callable
from pathlib import Path

from .callers import Callers
from .engine import Engine
from .hosts import Host, configuration, route
from .store import Store

__all__ = ["TROUBLE", "Deployment", "run_case"]

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
LIMIT_S = 110.0
# If the stand-ins themselves were late by more, the case proves nothing.
MAX_LAG_S = 0.3
LAG_CHECK_S = 0.02
ORDER_TIMEOUT_MS = 2000
STREAM_TIMEOUT_MS = 14000
WARM_UP_ORDERS = 20
WARM_UP_GAP_S = 0.1


class Deployment:
    """One entry host before three engines of each service."""

    def __init__(self, folder: Path) -> None:
        self.began_s = time.monotonic()
        self.lines: list[str] = []
        self.store = Store()
        self.models = [
            Engine("i-m1", "sprakhjelp", self.store, "prefill"),
            Engine("i-m2", "sprakhjelp", self.store, "decode"),
            Engine("i-m3", "sprakhjelp", self.store, "decode"),
        ]
        self.plain = [
            Engine(f"i-p{number}", "pensjonat", self.store) for number in (1, 2, 3)
        ]
        self.folder = folder
        self.host: Host | None = None

    def note(self, text: str) -> None:
        """Add a line to the record."""
        self.lines.append(f"{time.monotonic() - self.began_s:8.3f} s  {text}")

    def note_attempts(self, callers: Callers) -> None:
        """Add a line for each request, and one for each run of an engine."""
        for item in callers.attempts:
            self.lines.append(
                f"{item.sent_s - self.began_s:8.3f} s  request {item.id} "
                f"({item.route}): {item.outcome} after {item.took_s:.3f} s"
            )
        for engine in (*self.models, *self.plain):
            for at_s, request_id in engine.runs:
                self.lines.append(
                    f"{at_s - self.began_s:8.3f} s  {engine.id} runs {request_id}"
                )

    async def busiest_plain(self, callers: Callers) -> Engine:
        """Send some orders; return the server that the host uses most."""
        for _ in range(WARM_UP_ORDERS):
            callers.send("bestilling", 4000)
            await asyncio.sleep(WARM_UP_GAP_S)
        return max(self.plain, key=lambda engine: len(engine.runs))

    async def start(self) -> Callers:
        """Start everything; return the callers of the host."""
        await self.store.start()
        routes = [
            route("stelllogg", "stream", "sprakhjelp", STREAM_TIMEOUT_MS, 900),
            route("bestilling", "non_idempotent", "pensjonat", ORDER_TIMEOUT_MS, 400),
        ]
        self.store.put("op", "config", configuration(routes))
        for engine in (*self.models, *self.plain):
            engine.work_s = 0.06 if engine.stage is None else 0.0
            await engine.begin()
        self.host = Host("front-fjord-a-1", self.folder, self.store.address)
        await self.host.start()
        self.note("the host is ready")
        # Longer than contact_ms, so that the host is in touch.
        await asyncio.sleep(3.5)
        return Callers(self.host.callers)


async def _measure_lag(lags_s: list[float]) -> None:
    """Record by how much this process wakes up too late."""
    while True:
        began_s = time.monotonic()
        await asyncio.sleep(LAG_CHECK_S)
        lags_s.append(time.monotonic() - began_s - LAG_CHECK_S)


def run_case(record: Path, case: Callable[[Deployment], Awaitable[bool]]) -> None:
    """Run a case; end the process with 1 if it found a rule broken."""

    async def run() -> int:
        with tempfile.TemporaryDirectory() as name:
            deployment = Deployment(Path(name))
            status = 2
            lags_s = [0.0]
            monitor = asyncio.ensure_future(_measure_lag(lags_s))
            try:
                async with asyncio.timeout(LIMIT_S):
                    status = int(await case(deployment))
                monitor.cancel()
                deployment.note(f"longest lag of the stand-ins: {max(lags_s):.3f} s")
                if max(lags_s) > MAX_LAG_S:
                    status = 2
            except Exception as error:
                deployment.note(f"could not run: {error!r}")
            finally:
                if deployment.host is not None:
                    deployment.host.kill()
                lines = [f"TROUBLE={int(TROUBLE)}", *deployment.lines, f"exit {status}"]
                record.write_text("\n".join(lines) + "\n")
                if keep := os.environ.get("KEEP"):
                    log = deployment.folder / "front-fjord-a-1.log"
                    (Path(keep) / log.name).write_bytes(log.read_bytes())
        return status

    os._exit(asyncio.run(run()))
