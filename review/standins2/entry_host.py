"""Runs entry hosts as processes, with the command of the deploy file."""

import asyncio
import json
import os
import random
import signal
import socket
import tomllib
from pathlib import Path
from typing import Any

from http_io import LOOPBACK, fetch

ROOT = Path(__file__).resolve().parents[2]
READY_TIMEOUT_S = 20.0
PORTS = (20_000, 30_000)

_given_ports: set[int] = set()


def free_port() -> int:
    """Return a port that nothing listens on.

    It lies below those that systems give to outgoing connections, so that a
    process finds it free again when it is started once more.
    """
    while True:
        port = random.randrange(*PORTS)
        with socket.socket() as sock:
            try:
                sock.bind((LOOPBACK, port))
            except OSError:
                continue
        if port not in _given_ports:
            _given_ports.add(port)
            return port


class EntryHost:
    """One process; its settings are those that the template gives."""

    def __init__(self, name: str, store: str, folder: Path, **changes: Any) -> None:
        self.name = name
        self.callers = f"{LOOPBACK}:{free_port()}"
        self.ready = f"{LOOPBACK}:{free_port()}"
        self.metrics = f"{LOOPBACK}:{free_port()}"
        self._settings = folder / f"{name}.json"
        self.log = folder / f"{name}.log"
        self._process: asyncio.subprocess.Process | None = None
        document = {
            "host_id": name,
            "failure_domain": "mombasa",
            "listen": {
                "callers": self.callers,
                "readiness": self.ready,
                "metrics": self.metrics,
                "peer_port": free_port(),
            },
            "store": store,
            "retries": {"ratio": 0.2, "window_s": 10, "allowance": 58},
            "stop_grace_s": 8,
            "processor": {"share": 0.537, "speed": 2, "link_mbps": 1000.0},
            "order_lease_s": 3.0,
            "notice_s": 3.0,
            "memory_mb": 150,
            "max_descriptors": 4100,
            "log_level": "info",
            **changes,
        }
        self._settings.write_text(json.dumps(document))

    async def start(self) -> None:
        """Start the process and wait until it says that it is ready."""
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        command = deploy["roles"]["entry"]["run"].split()
        kept = {
            key: os.environ[key]
            for key in ("PATH", "HOME", "LANG")
            if key in os.environ
        }
        kept["KUMQUATROUTER_BOOT"] = str(self._settings)
        kept["PYTHONPATH"] = str(ROOT / "target" / "deps")
        kept["PYTHONDONTWRITEBYTECODE"] = "1"
        with self.log.open("ab") as log:
            self._process = await asyncio.create_subprocess_exec(
                *command, cwd=ROOT, env=kept, stdout=log, stderr=log
            )
        async with asyncio.timeout(READY_TIMEOUT_S):
            while not await self.is_ready():
                if self._process.returncode is not None:
                    raise RuntimeError(f"{self.name} ended: {self._process.returncode}")
                await asyncio.sleep(0.1)

    async def is_ready(self) -> bool:
        """Ask as the platform does; return whether it is ready."""
        answer = await fetch(
            self.ready, "GET", "/api/ready", {"Host": self.ready}, leave_after_s=1.0
        )
        return answer.status == 200

    @property
    def exit_status(self) -> int | None:
        """Return the exit status, None while the process runs."""
        return self._process.returncode if self._process is not None else None

    def send(self, number: signal.Signals) -> None:
        """Send a signal to the process, if it runs."""
        if self._process is not None and self._process.returncode is None:
            self._process.send_signal(number)

    async def wait(self, timeout_s: float) -> int | None:
        """Return the exit status, None if it still runs."""
        assert self._process is not None
        try:
            async with asyncio.timeout(timeout_s):
                return await self._process.wait()
        except TimeoutError:
            return None

    def private_mb(self) -> float:
        """Return the memory without mapped files, 0 if it ended."""
        if self._process is None or self._process.returncode is not None:
            return 0.0
        try:
            status = Path(f"/proc/{self._process.pid}/status").read_text()
        except OSError:
            return 0.0
        for line in status.splitlines():
            if line.startswith("RssAnon"):
                return int(line.split()[1]) / 1024
        return 0.0

    async def kill(self) -> None:
        """End the process."""
        if self._process is not None and self._process.returncode is None:
            self.send(signal.SIGCONT)
            self.send(signal.SIGKILL)
            await self._process.wait()
