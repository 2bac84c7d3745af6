"""A crowd of callers that sends to a host from a process of its own.

A sender in the process of the test would compete with the ordinary callers,
and would send less than a host can read.
"""

import asyncio
import contextlib
import multiprocessing
import re
import socket
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass
from multiprocessing.connection import Connection

from .crowd_forms import FORMS_BY_NAME, CrowdCaller

__all__ = ["Crowd", "CrowdPlan", "crowd_at"]

STATUS_LINE = re.compile(rb"HTTP/1\.1 (\d{3}) ")
# Responses of a crowd that its host has sent, which are short.
MAX_READ_BYTES = 1024 * 1024
CONNECT_S = 5.0
JOIN_S = 10.0
# These tell callers that a request has not run.
PROMISES = {408, 421, 429, 503}


@dataclass(frozen=True)
class CrowdPlan:
    """What a crowd sends, and where.

    Callers take the ``forms`` in turn. ``extra_headers`` ends
    with a line end unless it is empty.
    """

    ip: str
    port: int
    path: str
    extra_headers: str
    forms: tuple[str, ...]
    callers: int
    seconds: float
    wave: int = 0


class Crowd:
    """The process of a crowd, seen from the test."""

    def __init__(self, plan: CrowdPlan) -> None:
        self._plan = plan
        context = multiprocessing.get_context("spawn")
        self._own, other = context.Pipe()
        self._process = context.Process(target=_run, args=(plan, other), daemon=True)

    def start(self) -> None:
        """Start the process, whose callers connect at once."""
        self._process.start()

    async def refused_names(self) -> set[str]:
        """Return the names of requests that the host promised not to run.

        The callers have ended to send then, and hold their connections.
        """
        seconds = self._plan.seconds + CONNECT_S + JOIN_S
        if not await asyncio.to_thread(self._own.poll, seconds):
            raise AssertionError("the crowd did not end")
        refused: set[str] = self._own.recv()
        return refused

    async def leave(self) -> None:
        """Close all connections of the crowd."""
        with contextlib.suppress(BrokenPipeError):
            self._own.send(None)
        await asyncio.to_thread(self._process.join, JOIN_S)
        if self._process.is_alive():
            self._process.kill()
            self._process.join()


@asynccontextmanager
async def crowd_at(plan: CrowdPlan) -> AsyncIterator[Crowd]:
    """Run a crowd, which leaves at the end of the block."""
    crowd = Crowd(plan)
    crowd.start()
    try:
        yield crowd
    finally:
        await crowd.leave()


def _run(plan: CrowdPlan, control: Connection) -> None:
    """Run a crowd in its process until the test has an answer."""
    callers = asyncio.run(_send(plan))
    refused: set[str] = set()
    for caller in callers:
        statuses = STATUS_LINE.findall(_received(caller.sock))
        for name, status in zip(caller.names, statuses, strict=False):
            if int(status) in PROMISES:
                refused.add(name)
    control.send(refused)
    control.recv()


async def _send(plan: CrowdPlan) -> list[CrowdCaller]:
    """Let all callers send, for the time of the plan in all."""
    loop = asyncio.get_running_loop()
    callers = []
    for number in range(plan.callers):
        sock = socket.socket()
        sock.setblocking(False)
        name = f"{plan.wave}-{number}"
        callers.append(CrowdCaller(sock, name, plan.path, plan.extra_headers))

    async def send(number: int, caller: CrowdCaller) -> None:
        form = FORMS_BY_NAME[plan.forms[number % len(plan.forms)]]
        with contextlib.suppress(OSError):
            await loop.sock_connect(caller.sock, (plan.ip, plan.port))
            await form(caller)

    tasks = [
        asyncio.ensure_future(send(number, caller))
        for number, caller in enumerate(callers)
    ]
    await asyncio.sleep(plan.seconds)
    for task in tasks:
        task.cancel()
    results = await asyncio.gather(*tasks, return_exceptions=True)
    for result in results:
        if isinstance(result, Exception):
            raise result
    return callers


def _received(sock: socket.socket) -> bytes:
    """Return what has arrived on a connection."""
    data = b""
    with contextlib.suppress(OSError):
        while len(data) < MAX_READ_BYTES and (part := sock.recv(65536)):
            data += part
    return data
