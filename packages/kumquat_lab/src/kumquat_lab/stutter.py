"""Copies of responses that an emulated server writes once more.

A server that stutters writes the last response of a connection again: at once
behind it, late on the idle connection, or right before the next response;
whole or cut at any byte, with or without the id of its call. Copies never come
inside another response, since no caller could tell such a copy from damage.
"""

import asyncio
import contextlib
import random
from collections import Counter
from collections.abc import Callable
from enum import StrEnum
from typing import Annotated, Any
from weakref import WeakKeyDictionary

from aiohttp import hdrs, web
from pydantic import BaseModel, ConfigDict, Field

from kumquat_core.proved_exchange import CALL_ID_HEADER

from .serving import Handler

__all__ = ["CopyKind", "CopyTime", "KindOfResponse", "RecordedStream", "Stutter"]

HEAD_END = b"\r\n\r\n"
LAST_CHUNK = b"0\r\n\r\n"


class CopyKind(StrEnum):
    """What a copied response is."""

    SUCCESS = "success"
    ERROR = "error"
    REFUSAL = "refusal"
    CONTROL = "control"
    PREFILL = "prefill"
    STREAM = "stream"


class CopyTime(StrEnum):
    """When a copy is written."""

    AT_ONCE = "at_once"
    LATE = "late"
    BEFORE_NEXT = "before_next"


KindOfResponse = Callable[[web.Request, int], CopyKind | None]


class StutterFault(BaseModel):
    """The copies that a server writes; none by default.

    ``share`` is the share of its responses that it copies, ``cut_share`` that
    of the copies which are cut. ``call_id`` chooses copies with the id of
    their call, without it, or both.
    """

    model_config = ConfigDict(extra="forbid", frozen=True)

    share: Annotated[float, Field(ge=0, le=1)] = 0.0
    kinds: Annotated[tuple[CopyKind, ...], Field(min_length=1)] = tuple(CopyKind)
    times: Annotated[tuple[CopyTime, ...], Field(min_length=1)] = tuple(CopyTime)
    call_id: Annotated[tuple[bool, ...], Field(min_length=1)] = (True, False)
    cut_share: Annotated[float, Field(ge=0, le=1)] = 0.5
    late_s: Annotated[float, Field(ge=0)] = 0.05


class RecordedStream(web.StreamResponse):
    """An event stream that keeps what was written."""

    def __init__(self, request_id: str) -> None:
        super().__init__(
            headers={
                "Content-Type": "text/event-stream",
                "Cache-Control": "no-cache",
                "X-Request-Id": request_id,
            }
        )
        self.written = bytearray()

    async def write(self, data: bytes | bytearray | memoryview) -> None:
        """Write a part of the stream."""
        self.written += data
        await super().write(data)


class Stutter:
    """Writes the copies of one server; counts them by kind and time."""

    def __init__(self, rng: random.Random, kind_of: KindOfResponse) -> None:
        self._rng = rng
        self._kind_of = kind_of
        self._fault = StutterFault()
        # The copy that comes before the next response of a connection.
        self._next_by_transport: WeakKeyDictionary[asyncio.Transport, _Copy] = (
            WeakKeyDictionary()
        )
        self.counts: Counter[str] = Counter()

    def add_to(self, app: web.Application) -> None:
        """Let an application stutter; its other middlewares come later."""
        app.middlewares.insert(0, self._middleware)
        app.on_response_prepare.append(self._write_pending)

    def apply_fault(self, faults: dict[str, Any]) -> dict[str, int]:
        """Change the fault if ``stutter`` is among the faults.

        Returns the numbers of copies written since the last change.
        """
        counts = dict(self.counts)
        if "stutter" in faults:
            self._fault = StutterFault.model_validate(faults["stutter"])
            self.counts.clear()
        return counts

    @web.middleware
    async def _middleware(
        self, request: web.Request, handler: Handler
    ) -> web.StreamResponse:
        """Send a response completely, then choose a copy of it."""
        response = await handler(request)
        with contextlib.suppress(ConnectionError):
            await response.prepare(request)
            await response.write_eof()
            self._choose_copy(request, response)
        return response

    def _choose_copy(self, request: web.Request, response: web.StreamResponse) -> None:
        fault, rng, transport = self._fault, self._rng, request.transport
        if transport is None or transport.is_closing() or not fault.share:
            return
        kind = self._kind_of(request, response.status)
        if kind not in fault.kinds or rng.random() >= fault.share:
            return
        data = _bytes_of(response, keep_id=rng.choice(fault.call_id))
        if rng.random() < fault.cut_share:
            # Half of the cuts are within the head, however long the body is.
            head = data.index(HEAD_END) + len(HEAD_END)
            data = data[: rng.randrange(1, rng.choice((head, len(data))))]
        time = rng.choice(fault.times)
        copy = _Copy(transport, data, f"{kind}/{time}", self.counts)
        match time:
            case CopyTime.AT_ONCE:
                copy.write()
            case CopyTime.LATE:
                loop = asyncio.get_running_loop()
                loop.call_later(rng.uniform(0, fault.late_s), copy.write)
                self._next_by_transport[transport] = copy
            case CopyTime.BEFORE_NEXT:
                self._next_by_transport[transport] = copy

    async def _write_pending(self, request: web.Request, _: web.StreamResponse) -> None:
        """Write the copy of the last response, unless it came already."""
        transport = request.transport
        if transport is not None:
            copy = self._next_by_transport.pop(transport, None)
            if copy is not None:
                copy.write()


class _Copy:
    """A copy that is written once."""

    def __init__(
        self, transport: asyncio.Transport, data: bytes, name: str, counts: Counter[str]
    ) -> None:
        self._transport: asyncio.Transport | None = transport
        self._data = data
        self._name = name
        self._counts = counts

    def write(self) -> None:
        """Write the copy, if it was not written and the connection is open."""
        transport, self._transport = self._transport, None
        if transport is not None and not transport.is_closing():
            self._counts[self._name] += 1
            transport.write(self._data)


def _bytes_of(response: web.StreamResponse, *, keep_id: bool) -> bytes:
    """Return the bytes of a response that was sent."""
    lines = [f"HTTP/1.1 {response.status} {response.reason}"]
    lines += [
        f"{name}: {value}"
        for name, value in response.headers.items()
        if keep_id or name.lower() != CALL_ID_HEADER.lower()
    ]
    body = b""
    match response:
        case RecordedStream(written=written):
            body = bytes(written)
        case web.Response(body=bytes() as content):
            body = content
    if response.headers.get(hdrs.TRANSFER_ENCODING) == "chunked":
        body = b"%x\r\n%b\r\n" % (len(body), body) + LAST_CHUNK
    return "\r\n".join(lines).encode() + HEAD_END + body
