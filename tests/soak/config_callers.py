"""Callers that are in each state of a request while configurations change."""

import asyncio
import random
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum

from tests.relay.relay_harness import HOST

from kumquat_core.settings import Address

__all__ = ["DEADLINE_MS", "ConfigCaller", "EarlyClose", "Ending", "Exchange", "Manner"]

HEAD_END = b"\r\n\r\n"
DEADLINE_MS = 3500
# How much later than its deadline a request may end.
LATE_S = 1.5
PAUSE_S = (0.0, 0.15)
# Share of the idle limit for which callers use a connection.
IDLE_SHARE = 0.8
CONNECT_TIMEOUT_S = 1.0
# How late a caller may wake up.
WAKE_S = 0.05


class Manner(Enum):
    """How a caller sends its requests."""

    AT_ONCE = "at_once"
    AFTER_IDLE = "after_idle"
    SLOW_HEAD = "slow_head"
    SLOW_BODY = "slow_body"
    LARGE = "large"


class Ending(Enum):
    """How a request ended for its caller."""

    SERVED = "served"
    REFUSED = "refused"
    REJECTED = "rejected"
    FAILED = "failed"
    NO_ANSWER = "no_answer"
    BROKEN = "broken"
    LATE = "late"
    NOT_CONNECTED = "not_connected"


@dataclass(frozen=True)
class Exchange:
    """One request; times are loop times in seconds."""

    request_id: str
    route: str
    host_id: str
    manner: Manner
    sent_s: float
    ended_s: float
    ending: Ending
    status: int


@dataclass(frozen=True)
class EarlyClose:
    """A connection that was closed although its caller could use it."""

    host_id: str
    at_s: float
    idle_s: float
    known_limit_s: float


class ConfigCaller:
    """Sends one request after the other over connections that it keeps.

    ``idle_s`` returns the idle limit that callers know.
    """

    def __init__(
        self,
        name: str,
        rng: random.Random,
        addresses_by_host: dict[str, Address],
        manner: Manner,
        routes: tuple[str, ...],
        idle_s: Callable[[], float],
    ) -> None:
        self._name = name
        self._rng = rng
        self._addresses_by_host = addresses_by_host
        self._manner = manner
        self._routes = routes
        self._idle_s = idle_s
        self._host_id = ""
        self._streams: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None = None
        self.exchanges: list[Exchange] = []
        self.early_closes: list[EarlyClose] = []
        self.stopping = False

    async def run(self) -> None:
        """Send requests until ``stopping`` is set."""
        while not self.stopping:
            await self._pause()
            await self._exchange()
        self._disconnect()

    async def _pause(self) -> None:
        began_s, known_s = asyncio.get_running_loop().time(), self._idle_s()
        pause_s = self._rng.uniform(*PAUSE_S)
        if self._manner is Manner.AFTER_IDLE:
            pause_s = IDLE_SHARE * known_s * self._rng.uniform(0.8, 1.0)
        await asyncio.sleep(pause_s)
        if self._streams is not None and self._streams[0].at_eof():
            now_s = asyncio.get_running_loop().time()
            idle_s = now_s - began_s
            if idle_s <= IDLE_SHARE * known_s + WAKE_S:
                self.early_closes.append(
                    EarlyClose(self._host_id, now_s, idle_s, known_s)
                )
            self._disconnect()

    async def _exchange(self) -> None:
        loop = asyncio.get_running_loop()
        route = self._rng.choice(self._routes)
        request_id = f"{self._name}-{len(self.exchanges)}"
        sent_s, status, ending = loop.time(), 0, Ending.NOT_CONNECTED
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                reader, writer = await self._connect()
            ending = Ending.NO_ANSWER
            sending = asyncio.ensure_future(self._send(writer, route, request_id))
            try:
                async with asyncio.timeout(2 * DEADLINE_MS / 1000 + LATE_S):
                    status, closes = await _read_head_and_body(reader)
            finally:
                sending.cancel()
            ending = _ending_of(status)
            if closes or not sending.done():
                self._disconnect()
        except TimeoutError:
            ending = Ending.LATE if ending is Ending.NO_ANSWER else ending
            self._disconnect()
        except _BrokenAnswerError:
            ending = Ending.BROKEN
            self._disconnect()
        except (OSError, EOFError):
            self._disconnect()
        self.exchanges.append(
            Exchange(
                request_id,
                route,
                self._host_id,
                self._manner,
                sent_s,
                loop.time(),
                ending,
                status,
            )
        )

    async def _send(
        self, writer: asyncio.StreamWriter, route: str, request_id: str
    ) -> None:
        body = request_id.encode()
        if self._manner is Manner.LARGE:
            body = body.ljust(self._rng.choice((1500, 15_000, 90_000)), b"x")
        filler = "f" * self._rng.choice((0, 1000, 4000, 7000))
        more = f"X-Filler: {filler}\r\n" if self._manner is Manner.LARGE else ""
        head = (
            f"POST /{route}/p HTTP/1.1\r\nHost: {HOST}\r\n"
            f"X-Request-Id: {request_id}\r\nX-Deadline-Ms: {DEADLINE_MS}\r\n{more}"
            "X-Model: m\r\nX-Token-Counts: 3000,600\r\nX-Prefix-Hash: ab:3000\r\n"
            f"Content-Length: {len(body)}\r\n\r\n"
        ).encode()
        parts = [head + body]
        if self._manner is Manner.SLOW_HEAD:
            parts = [head[:30], head[30:90], head[90:] + body]
        elif self._manner is Manner.SLOW_BODY:
            parts = [head, body[:2], body[2:]]
        for number, part in enumerate(parts):
            if number:
                await asyncio.sleep(self._rng.uniform(0.02, 0.18))
            writer.write(part)

    async def _connect(self) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        if self._streams is None:
            self._host_id = self._rng.choice(sorted(self._addresses_by_host))
            address = self._addresses_by_host[self._host_id]
            self._streams = await asyncio.open_connection(address.ip, address.port)
        return self._streams

    def _disconnect(self) -> None:
        if self._streams is not None:
            self._streams[1].transport.abort()
        self._streams = None


class _BrokenAnswerError(Exception):
    """An answer began and did not end."""


def _ending_of(status: int) -> Ending:
    if status in (408, 421, 429, 503):
        return Ending.REFUSED
    if 400 <= status < 500:
        return Ending.REJECTED
    return Ending.FAILED if status >= 500 else Ending.SERVED


async def _read_head_and_body(reader: asyncio.StreamReader) -> tuple[int, bool]:
    """Return the status of a whole response and whether the host closes."""
    head = (await reader.readuntil(HEAD_END)).decode("latin-1").lower()
    first, *lines = head.strip().split("\r\n")
    headers = {
        name: value.strip()
        for name, _, value in (line.partition(":") for line in lines)
    }
    try:
        if headers.get("transfer-encoding") == "chunked":
            while size := int((await reader.readuntil(b"\r\n")).strip(), 16):
                await reader.readexactly(size + 2)
            await reader.readexactly(2)
        else:
            await reader.readexactly(int(headers.get("content-length", "0")))
    except (OSError, EOFError) as error:
        raise _BrokenAnswerError from error
    return int(first.split(" ")[1]), headers.get("connection") == "close"
