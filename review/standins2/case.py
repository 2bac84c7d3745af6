"""What the scripts of the cases share: the record, the hosts, the exit status.

The status is 1 if the rule was broken, 0 if it held and 2 if the case could
not run. ``TROUBLE=0`` in the environment leaves out the disruption.
"""

import asyncio
import os
import sys
import tempfile
import traceback
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

from entry_host import EntryHost
from http_io import Answer, fetch
from servers import HEARTBEAT_S, HOST_NAME, Backend
from store import Store

BROKEN, HELD, COULD_NOT_RUN = 1, 0, 2
LIMIT_S = 110.0
# The hosts learn of each other and settle on an owner within this time.
SETTLE_S = 3.0


class Case:
    """A store, servers and hosts; ``record`` gets what happened."""

    def __init__(self, folder: Path, record: Path) -> None:
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.store = Store()
        self.hosts: list[EntryHost] = []
        self.servers: list[Backend] = []
        self._folder = folder
        self._lines: list[tuple[float, str]] = []
        self._record = record
        self._began_s = asyncio.get_running_loop().time()
        self._beating: asyncio.Task[None] | None = None

    def now_s(self) -> float:
        """Return the seconds since the case began."""
        return asyncio.get_running_loop().time() - self._began_s

    def note(self, text: str) -> None:
        """Add a line with the time to the record."""
        self._lines.append((self.now_s(), text))

    async def start(
        self,
        servers: list[Backend],
        document: dict[str, Any],
        hosts: int,
        **changes: Any,
    ) -> None:
        """Start the store, the servers and the hosts, and let them settle."""
        await self.store.server.start()
        self.servers = servers
        for server in servers:
            await server.start()
            self.store.put("servers", server.id, server.entry())
        self.store.put("op", "config", document)
        self._beating = asyncio.create_task(self._beat())
        for number in range(1, hosts + 1):
            host = EntryHost(
                f"front-{number}", self.store.server.address, self._folder, **changes
            )
            self.hosts.append(host)
        await asyncio.gather(*(host.start() for host in self.hosts))
        await asyncio.sleep(SETTLE_S)

    async def _beat(self) -> None:
        """Let each server write its entry again with each heartbeat."""
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            for server in self.servers:
                self.store.beat(server.id)

    async def send(
        self,
        host: EntryHost,
        request_id: str,
        method: str,
        target: str,
        deadline_ms: int,
        headers: dict[str, str] | None = None,
        body: bytes = b"",
        leave_after_s: float | None = None,
        *,
        quiet: bool = False,
    ) -> Answer:
        """Send a request as a client; it leaves at its deadline at the latest.

        ``quiet`` requests are left out of the record.
        """
        fields = {
            "Host": HOST_NAME,
            "X-Request-Id": request_id,
            "X-Deadline-Ms": str(deadline_ms),
            **(headers or {}),
        }
        note = (lambda text: None) if quiet else self.note
        note(f"sent {request_id} to {host.name}: {method} {target}")
        began_s = self.now_s()
        patience_s = min(deadline_ms / 1000, leave_after_s or deadline_ms / 1000)
        answer = await fetch(host.callers, method, target, fields, body, patience_s)
        if answer.complete:
            note(f"answer to {request_id}: {answer.status}")
        elif self.now_s() - began_s >= patience_s:
            note(f"{request_id} leaves without a whole answer")
        else:
            note(f"the connection of {request_id} is closed without a whole answer")
        return answer

    async def stop(self) -> None:
        """End all processes and servers, and write the record."""
        if self._beating is not None:
            self._beating.cancel()
        for host in self.hosts:
            await host.kill()
        for server in self.servers:
            await server.server.stop()
        await self.store.server.stop()
        lines = [f"{at_s:9.3f} {text}\n" for at_s, text in self._lines]
        self._record.write_text("".join(lines))


def run(play: Callable[[Case], Awaitable[bool]], record: Path) -> None:
    """Play a case and exit; ``play`` returns whether the rule was broken."""

    async def main() -> int:
        with tempfile.TemporaryDirectory() as folder:
            case = Case(Path(folder), record)
            try:
                async with asyncio.timeout(LIMIT_S):
                    broken = await play(case)
                case.note("the rule was broken" if broken else "the rule held")
                return BROKEN if broken else HELD
            except Exception as error:
                traceback.print_exc()
                case.note(f"could not run: {error!r}")
                return COULD_NOT_RUN
            finally:
                await case.stop()

    sys.exit(asyncio.run(main()))
