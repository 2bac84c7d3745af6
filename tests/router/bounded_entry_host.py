"""The process of an entry host with stated limits, and its back ends."""

import asyncio
import fcntl
import tempfile
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import replace
from pathlib import Path

from aiohttp import web

from kumquat_core.http_client import create_session
from kumquat_core.settings import Address
from kumquat_lab.client_accounts import CLIENT_ACCOUNTS
from kumquat_lab.platform import PlatformConfig
from kumquat_lab.processes import ProcessGroup
from kumquat_lab.stack import Stack, StackConfig, StackPlan
from relay.intake_host import BoundedHost
from relay.test_intake_bounds import Caller, Form

__all__ = ["EntryHost", "as_caller_of_entry_host", "bounded_entry_host"]

ACCOUNT = CLIENT_ACCOUNTS[0]
SERVICE = ACCOUNT.services[0].name
START_S = 30.0
ANSWER_S = 30.0
RETRY_S = 0.2


def request_head(framing: str, method: str = "POST") -> bytes:
    """Return the head of a call to the plain service."""
    return (
        f"{method} /services/{SERVICE}/p HTTP/1.1\r\nHost: h\r\n"
        f"Authorization: Bearer {ACCOUNT.api_key}\r\n{framing}\r\n\r\n"
    ).encode()


class EntryCaller(Caller):
    """Sends the forms of the relay's callers to the own interface."""

    async def head(self, framing: str) -> None:
        """Send the head of a call."""
        await self.send(request_head(framing))


def as_caller_of_entry_host(form: Form) -> Form:
    """Return a form that sends calls of the own interface."""

    async def send(caller: Caller) -> None:
        await form(EntryCaller(caller._sock, caller.number))

    return send


class LargeBodyServers:
    """All servers of the plain service; they keep nothing of a body."""

    def __init__(self) -> None:
        self.processing_s = 0.0
        self.response_bytes = 0
        self.paths: set[str] = set()

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answer once the body was read and ``processing_s`` has passed."""
        self.paths.add(request.path.rpartition("/")[2])
        size = 0
        async for part in request.content.iter_any():
            size += len(part)
        await asyncio.sleep(self.processing_s)
        return web.Response(body=str(size).encode().ljust(self.response_bytes))


class EntryHost(BoundedHost):
    """The process of an entry host, and what it uses."""

    path = f"/services/{SERVICE}/"
    extra_headers = f"Authorization: Bearer {ACCOUNT.api_key}\r\n"

    def __init__(self, stack: Stack, servers: LargeBodyServers) -> None:
        plan = stack.plan.hosts[0]
        super().__init__(stack.processes.children_by_name[plan.host_id], servers)
        self._port = plan.caller_port

    @property
    def callers(self) -> Address:
        return Address("127.0.0.1", self._port)

    @property
    def _proc(self) -> Path:
        return Path(f"/proc/{self.process.pid}")

    @property
    def _log(self) -> Path:
        return self.process.log_path

    async def answer(self, body: bytes = b"body", deadline_ms: int = 2500) -> bytes:
        """Send calls until one gets its response; return its body."""
        framing = f"X-Deadline-Ms: {deadline_ms}\r\nContent-Length: {len(body)}"
        async with asyncio.timeout(ANSWER_S):
            while True:
                try:
                    received = await self._exchange(request_head(framing) + body)
                except OSError:
                    received = b""
                if received.startswith(b"HTTP/1.1 200"):
                    return received.partition(b"\r\n\r\n")[2]
                await asyncio.sleep(RETRY_S)


class BoundedStack(Stack):
    """A stack of the platform and one entry host, without engines."""

    async def _start_back_ends(self) -> None:
        config = PlatformConfig(port=self.plan.platform_port)
        await self._start_lab("platform", "platform", config)

    async def _wait_for_back_ends(self) -> None:
        await self._wait_until_available(f"{self.plan.platform_url}/hosts")


@asynccontextmanager
async def bounded_entry_host(**limits: float) -> AsyncIterator[EntryHost]:
    """Run an entry host with limits; only one such host runs at a time."""
    name = "kumquat_bounded_host.lock"
    with (Path(tempfile.gettempdir()) / name).open("w") as lock:
        await asyncio.to_thread(fcntl.flock, lock, fcntl.LOCK_EX)
        servers = LargeBodyServers()
        runner = web.ServerRunner(web.Server(servers.handle))
        await runner.setup()
        plan = StackPlan.from_config(StackConfig(hosts_per_firm=1, host_limits=limits))
        plan = replace(plan, hosts=plan.hosts[:1])
        with tempfile.TemporaryDirectory(prefix="kumquat-lab-") as directory:
            processes = ProcessGroup(Path(directory))
            async with create_session(2.0) as session:
                stack = BoundedStack(plan, Path(directory), processes, session)
                try:
                    for server in plan.servers_by_firm[ACCOUNT.name]:
                        await web.TCPSite(runner, "127.0.0.1", server.port).start()
                    await stack.start()
                    host = EntryHost(stack, servers)
                    await host.answer()
                    host.base_mb = host.private_mb()
                    yield host
                finally:
                    await processes.stop()
                    await runner.cleanup()
