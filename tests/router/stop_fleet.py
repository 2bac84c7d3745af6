"""Callers of a stack of real processes whose hosts are stopped.

The callers keep their connections until a host closes them and send the next
request as soon as they have a response, like the clients of the platform.
"""

import asyncio
import json
import random
import signal
import time
from collections import Counter
from collections.abc import Sequence
from dataclasses import dataclass, field

from kumquat_lab.client_accounts import CLIENT_ACCOUNTS
from kumquat_lab.emulated_responses import receipt, response_seed, response_text
from kumquat_lab.stack import EntryHostPlan, Stack

__all__ = ["DRAIN_LIMIT_S", "Attempt", "BusyCaller", "Fleet"]

ACCOUNT = CLIENT_ACCOUNTS[0]
DRAIN_LIMIT_S = 8.0
DEADLINE_MS = 3000
READ_TIMEOUT_S = 20.0
EXIT_TIMEOUT_S = 30.0
HEAD_END = b"\r\n\r\n"
PAUSE_AFTER_FAILURE_S = 0.05
TOKENS = 5

Headers = dict[str, str]


@dataclass(frozen=True)
class Attempt:
    """One request; ``status`` is 0 if the connection ended without an answer.

    ``content`` is the prompt or the body, each sent only once, and ``right``
    tells whether a success has the answer to it, up to its end. The connection
    was last used at ``used_s``, or opened then.
    """

    host_id: str
    kind: str
    content: str
    status: int
    execution: str
    right: bool
    used_s: float
    sent_s: float


class BusyCaller:
    """Sends requests over one connection until told to stop."""

    def __init__(self, fleet: "Fleet", number: int) -> None:
        self._fleet = fleet
        self._rng = random.Random(number)
        self._number = number
        self._count = 0
        self._used_s = 0.0
        self.stopping = False

    async def run(self) -> None:
        """Send requests; connect again when a connection was closed."""
        while not self.stopping:
            host = self._rng.choice(self._fleet.open_hosts())
            try:
                reader, writer = await asyncio.open_connection(
                    "127.0.0.1", host.caller_port
                )
            except OSError:
                await asyncio.sleep(PAUSE_AFTER_FAILURE_S)
                continue
            self._used_s = time.monotonic()
            while not self.stopping and await self._send(host, reader, writer):
                pass
            writer.transport.abort()

    async def _send(
        self,
        host: EntryHostPlan,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        """Send a request; return whether the connection stays open."""
        self._count += 1
        kind = self._rng.choice(("plain", "model", "stream"))
        content = f"caller{self._number} request{self._count} "
        content += f"run{self._fleet.run_number} "
        used_s, sent_s = self._used_s, time.monotonic()
        self._used_s = sent_s
        status, headers, body = 0, dict[str, str](), b""
        try:
            async with asyncio.timeout(READ_TIMEOUT_S):
                writer.write(_request(kind, content))
                status, headers, body = await _read(reader)
        except (OSError, asyncio.IncompleteReadError):
            pass
        execution = headers.get("x-execution", "")
        right = status != 200 or _is_right(kind, content, body)
        self._fleet.attempts.append(
            Attempt(
                host.host_id, kind, content, status, execution, right, used_s, sent_s
            )
        )
        if status != 200:
            await asyncio.sleep(PAUSE_AFTER_FAILURE_S)
        return status > 0 and headers.get("connection", "") != "close"


def _request(kind: str, content: str) -> bytes:
    if kind == "plain":
        service = ACCOUNT.services[0]
        path, body = f"/services/{service.name}/{service.class_name}", content
        lines = [f"Idempotency-Key: {content.replace(' ', '-')}"]
    else:
        path, stream = "/v1/completions", kind == "stream"
        body = json.dumps(
            {
                "model": ACCOUNT.model,
                "prompt": content,
                "max_tokens": TOKENS,
                "stream": stream,
            }
        )
        lines = [f"X-Request-Class: {ACCOUNT.work[0].class_name}"]
    lines = [
        f"POST {path} HTTP/1.1",
        "Host: h",
        f"Authorization: Bearer {ACCOUNT.api_key}",
        f"X-Deadline-Ms: {DEADLINE_MS}",
        "Content-Type: application/json",
        f"Content-Length: {len(body)}",
        *lines,
    ]
    return "\r\n".join(lines).encode() + HEAD_END + body.encode()


async def _read(reader: asyncio.StreamReader) -> tuple[int, Headers, bytes]:
    """Return status, headers and body of one response."""
    first, *lines = (await reader.readuntil(HEAD_END)).decode().strip().split("\r\n")
    pairs = (line.partition(":") for line in lines)
    headers = {name.lower(): value.strip() for name, _, value in pairs}
    body = b""
    if headers.get("transfer-encoding") == "chunked":
        while size := int(await reader.readuntil(b"\r\n"), 16):
            body += (await reader.readexactly(size + 2))[:-2]
        await reader.readexactly(2)
    else:
        body = await reader.readexactly(int(headers["content-length"]))
    return int(first.split(" ")[1]), headers, body


def _is_right(kind: str, content: str, body: bytes) -> bool:
    """Tell whether the body of a success belongs to its request.

    An event stream may end with an error, but not with another's tokens.
    """
    if kind == "plain":
        return body == receipt(ACCOUNT.services[0].name, content.encode())
    expected = response_text(ACCOUNT.model, content, TOKENS)
    if kind == "model":
        return bool(json.loads(body)["choices"][0]["text"] == expected)
    events = [line[6:] for line in body.split(b"\n") if line.startswith(b"data: ")]
    ended = b"[DONE]" in events
    parts = [json.loads(event) for event in events if event != b"[DONE]"]
    text = "".join(
        item["choices"][0]["text"] or "" for item in parts if "choices" in item
    )
    return text == expected if ended else expected.startswith(text)


@dataclass
class Fleet:
    """The hosts of one client account of a stack, and their callers."""

    stack: Stack
    attempts: list[Attempt] = field(default_factory=list)
    run_number: int = 0
    exit_codes: dict[str, int] = field(default_factory=dict)
    _stopped_s_by_id: dict[str, float] = field(default_factory=dict)
    _last_stops: dict[str, float] = field(default_factory=dict)
    _callers: list[BusyCaller] = field(default_factory=list)
    _tasks: list["asyncio.Task[None]"] = field(default_factory=list)
    _log_sizes: dict[str, int] = field(default_factory=dict)

    @property
    def hosts(self) -> list[EntryHostPlan]:
        """Return the hosts, stopped ones too."""
        return self.stack.plan.hosts_of(ACCOUNT)

    def open_hosts(self) -> list[EntryHostPlan]:
        """Return the hosts to which new connections are opened."""
        return [
            host for host in self.hosts if host.host_id not in self._stopped_s_by_id
        ]

    def begin(self, callers: int) -> None:
        """Forget the last run and start callers."""
        self.run_number += 1
        self.attempts.clear()
        self.exit_codes.clear()
        for host in self.hosts:
            log = self.stack.directory / f"{host.host_id}.log"
            self._log_sizes[host.host_id] = log.stat().st_size
        self._callers = [BusyCaller(self, number) for number in range(callers)]
        self._tasks = [asyncio.create_task(caller.run()) for caller in self._callers]

    def closed(self, idle_close_s: float) -> list[Attempt]:
        """Return the requests that ended without an answer.

        A stopping host closes connections unread that were idle since before
        the SIGTERM, so requests that cross such a close are left out: it comes
        after ``idle_close_s`` at the earliest.
        """
        found = []
        for item in self.attempts:
            stopped_s = self._last_stops.get(item.host_id, float("inf"))
            crosses = (
                item.used_s < stopped_s and item.sent_s >= stopped_s + idle_close_s
            )
            if item.status == 0 and not crosses:
                found.append(item)
        return found

    async def end(self) -> None:
        """Stop the callers, then start the stopped hosts again."""
        self._last_stops = dict(self._stopped_s_by_id)
        for caller in self._callers:
            caller.stopping = True
        await asyncio.gather(*self._tasks)
        for host in self.hosts:
            if host.host_id in self._stopped_s_by_id:
                await self.stack.start_host(host)
        self._stopped_s_by_id.clear()
        async with asyncio.timeout(EXIT_TIMEOUT_S):
            for host in self.hosts:
                await self.stack.wait_until_ready(host)

    async def wait_for_answers(self, count: int, host_id: str = "") -> None:
        """Wait for so many more successes, of one host if given."""

        def successes() -> int:
            return sum(
                item.status == 200 and host_id in ("", item.host_id)
                for item in self.attempts
            )

        goal = successes() + count
        async with asyncio.timeout(EXIT_TIMEOUT_S):
            while successes() < goal:
                await asyncio.sleep(0.01)

    def terminate(self, host: EntryHostPlan) -> None:
        """Send SIGTERM; new connections go to the other hosts from now on."""
        self._stopped_s_by_id[host.host_id] = time.monotonic()
        self.stack.processes.children_by_name[host.host_id].send(signal.SIGTERM)

    def reload_with_limit(self, host: EntryHostPlan, limit_s: float) -> None:
        """Change the drain limit in the settings of a host; send SIGHUP."""
        path = self.stack.settings_by_host_id[host.host_id]
        settings = json.loads(path.read_text())
        settings["limits"]["drain_limit_s"] = limit_s
        path.write_text(json.dumps(settings))
        self.stack.processes.children_by_name[host.host_id].send(signal.SIGHUP)

    async def wait_for_exit(self, hosts: Sequence[EntryHostPlan]) -> None:
        """Wait until stopped hosts have exited; record their exit codes."""
        async with asyncio.timeout(EXIT_TIMEOUT_S):
            for host in hosts:
                child = self.stack.processes.children_by_name[host.host_id]
                self.exit_codes[host.host_id] = await child.process.wait()

    async def owner(self) -> EntryHostPlan:
        """Return the host that owns the queue of the account's engines."""
        url = f"{self.hosts[0].admin_url}/admin/status"
        status = await self.stack.call("GET", url)
        (owner_id,) = {
            owner for shard, owner in status["owners"].items() if ACCOUNT.pool in shard
        }
        return next(host for host in self.hosts if host.host_id == owner_id)

    def new_log(self, host: EntryHostPlan) -> str:
        """Return what a host has logged in this run."""
        data = (self.stack.directory / f"{host.host_id}.log").read_bytes()
        return data[self._log_sizes[host.host_id] :].decode()

    async def set_faults(self, urls: Sequence[str], fault: dict[str, object]) -> None:
        """Set a fault of several servers."""
        for url in urls:
            await self.stack.call("POST", f"{url}/faults", fault)

    def engine_urls(self) -> list[str]:
        """Return the URLs of the account's engines."""
        engines = self.stack.plan.engines_by_firm[ACCOUNT.name]
        return [f"http://127.0.0.1:{engine.port}" for engine in engines]

    def server_urls(self) -> list[str]:
        """Return the URLs of the account's backend servers."""
        servers = self.stack.plan.servers_by_firm[ACCOUNT.name]
        return [f"http://127.0.0.1:{server.port}" for server in servers]

    async def runs_by_content(self) -> Counter[str]:
        """Return how often each prompt was read and each body executed."""
        runs: Counter[str] = Counter()
        for url in self.server_urls():
            runs.update((await self.stack.call("GET", f"{url}/executions"))["by_body"])
        seeds: Counter[str] = Counter()
        for url in self.engine_urls():
            seeds.update(
                (await self.stack.call("GET", f"{url}/counts"))["prefill_seeds"]
            )
        for item in self.attempts:
            if item.kind != "plain":
                seed = response_seed(ACCOUNT.model, item.content)
                runs[item.content] = seeds[str(seed)]
        return runs

    async def violations(self) -> list[str]:
        """Return what callers must not see, and hosts must not log."""
        runs = await self.runs_by_content()
        found = []
        for item in self.attempts:
            ran = runs[item.content]
            if item.status == 0 and ran:
                found.append(f"closed without an answer though it ran: {item}")
            if item.execution == "not_run" and ran:
                found.append(f"refused though it ran: {item}")
            if not item.right:
                found.append(f"wrong answer: {item}")
            if item.kind == "plain" and ran > 1:
                found.append(f"ran {ran} times: {item}")
        for host in self.hosts:
            if "Traceback" in self.new_log(host):
                found.append(f"traceback: {self.new_log(host)[-12000:]}")
        return found
