"""Entry hosts as separate processes, started as the deploy file says."""

import asyncio
import json
import os
import signal
import subprocess
import time
from pathlib import Path

import aiohttp

from .serving import LOOPBACK, free_port

__all__ = ["Host", "configuration", "route"]

ROOT = Path(__file__).resolve().parents[2]
READY_TIMEOUT_S = 20.0


class Host:
    """One process of ``platform/front.py``, started from the root."""

    def __init__(self, host_id: str, folder: Path, store: str) -> None:
        self.id = host_id
        self._folder = folder
        self.callers = f"{LOOPBACK}:{free_port()}"
        self.readiness = f"{LOOPBACK}:{free_port()}"
        self._settings = folder / f"{host_id}.json"
        self._settings.write_text(
            json.dumps(
                {
                    "host_id": host_id,
                    "failure_domain": "fjord-a",
                    "listen": {
                        "callers": self.callers,
                        "readiness": self.readiness,
                        "metrics": f"{LOOPBACK}:{free_port()}",
                        "peer_port": free_port(),
                    },
                    "store": store,
                    "retries": {"ratio": 0.2, "window_s": 10, "allowance": 56},
                    "stop_grace_s": 8,
                    "processor": {"share": 0.537, "speed": 2, "link_mbps": 1000.0},
                    "order_lease_s": 3000e-3,
                    "notice_s": 3000e-3,
                    "log_level": "info",
                }
            )
        )
        self.log = folder / f"{host_id}.log"
        self.process: subprocess.Popen[bytes] | None = None

    async def start(self) -> None:
        """Start the process and wait until it is ready."""
        environment = {
            name: value
            for name, value in os.environ.items()
            if name in ("PATH", "HOME", "LANG")
        }
        environment["KUMQUATROUTER_BOOT"] = str(self._settings)
        environment["PYTHONPATH"] = "target/deps"
        with self.log.open("ab") as log:
            self.process = subprocess.Popen(
                ["python3", "platform/front.py"],
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=log,
            )
        end_s = time.monotonic() + READY_TIMEOUT_S
        async with aiohttp.ClientSession() as session:
            while not await self._is_ready(session):
                if time.monotonic() > end_s or self.process.poll() is not None:
                    raise RuntimeError(f"{self.id} did not become ready")
                await asyncio.sleep(0.1)

    async def _is_ready(self, session: aiohttp.ClientSession) -> bool:
        try:
            async with session.get(f"http://{self.readiness}/api/ready") as response:
                return response.status == 200
        except aiohttp.ClientError:
            return False

    def send(self, signal_number: signal.Signals) -> None:
        """Send a signal to this process only."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal_number)

    def kill(self) -> None:
        """End the process and wait for that."""
        if self.process is not None:
            self.send(signal.SIGCONT)
            self.send(signal.SIGKILL)
            self.process.wait()


def route(
    name: str, kind: str, service: str, timeout_ms: int, target_ms: int
) -> dict[str, object]:
    """Return a route for the paths that begin with its name."""
    return {
        "name": name,
        "host": "ficu95.example",
        "prefix": f"/{name}/",
        "kind": kind,
        "timeout_ms": timeout_ms,
        "target_latency_ms": target_ms,
        "priority": 1 if kind == "stream" else 2,
        "service": service,
        "max_attempts": 2 if kind == "idempotent" else 1,
        "sticky": kind == "stream",
        "resumable": False,
        "gap_aim_ms": 300 if kind == "stream" else 0,
    }


def configuration(
    routes: list[dict[str, object]], version: int = 7
) -> dict[str, object]:
    """Return a configuration with a model and a plain service."""
    return {
        "version": version,
        "routes": routes,
        "services": [
            {
                "name": "sprakhjelp",
                "health_path": "/healthz",
                "max_conns": 164,
                "protocol": "h1",
                "tls": False,
                "engine": {
                    "slots": 12,
                    "kv_tokens": 144611,
                    "token_kv_bytes": 192512,
                    "link_mbps": 12000000.0,
                    "moves": True,
                    "backups": True,
                    "stride": 89,
                    "most": 12,
                    "handle_ttl_s": 0.5,
                    "switch_s": 6.0,
                    "pin_ms": 4000.0,
                    "hold_ms": 2000.0,
                    "models": [{"name": "m"}],
                },
            },
            {
                "name": "pensjonat",
                "health_path": "/healthz",
                "max_conns": 110,
                "protocol": "h1",
                "tls": False,
            },
        ],
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 4194304,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
    }
