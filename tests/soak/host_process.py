"""One host as a process of its own, ended only by its own id."""

import asyncio
import json
import os
import signal
import sys
from pathlib import Path

from kumquat_core.settings import Address

__all__ = ["HostProcess"]

ROOT = Path(__file__).resolve().parents[2]
EXIT_TIMEOUT_S = 12.0


class HostProcess:
    """Starts, stops, pauses and kills ``platform/front.py``."""

    def __init__(
        self, host_id: str, folder: Path, store: Address, ports: list[int]
    ) -> None:
        self.host_id = host_id
        self.callers = Address("127.0.0.1", ports[0])
        self.readiness = Address("127.0.0.1", ports[1])
        self._settings = folder / f"{host_id}.json"
        self._log = folder / f"{host_id}.log"
        self._process: asyncio.subprocess.Process | None = None
        self.paused = False
        document = {
            "host_id": host_id,
            "failure_domain": "a",
            "listen": {
                "callers": self.callers.text,
                "readiness": self.readiness.text,
                "metrics": f"127.0.0.1:{ports[2]}",
                "peer_port": ports[3],
            },
            "store": store.text,
            "retries": {"ratio": 0.2, "window_s": 10.0, "allowance": 60.0},
            "stop_grace_s": 4.0,
            "processor": {"share": 1.0, "speed": 1.0, "link_mbps": 1000.0},
            "order_lease_s": 3.0,
            "log_level": "info",
        }
        self._settings.write_text(json.dumps(document))

    @property
    def running(self) -> bool:
        """Tell whether the process is there and not paused."""
        process = self._process
        return process is not None and process.returncode is None and not self.paused

    @property
    def exit_status(self) -> int | None:
        """Return the exit status, None while the process is there."""
        return self._process.returncode if self._process is not None else None

    async def start(self) -> None:
        """Start the process; its log is appended to one file."""
        environment = {**os.environ, "KUMQUATROUTER_BOOT": str(self._settings)}
        with self._log.open("ab") as log:
            self._process = await asyncio.create_subprocess_exec(
                sys.executable,
                "platform/front.py",
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=log,
            )

    def send(self, number: signal.Signals) -> None:
        """Send a signal to the process, if it is there."""
        if self._process is None or self._process.returncode is not None:
            return
        self._process.send_signal(number)
        if number in (signal.SIGSTOP, signal.SIGCONT):
            self.paused = number is signal.SIGSTOP

    async def ended(self) -> int | None:
        """Return the exit status; kills a process that does not end."""
        if self._process is None:
            return None
        try:
            async with asyncio.timeout(EXIT_TIMEOUT_S):
                return await self._process.wait()
        except TimeoutError:
            self.send(signal.SIGKILL)
            await self._process.wait()
            return None
