"""Bounds the memory of responses that are buffered before they are forwarded.

Load pattern: faulty servers send endless responses on many connections at
once, in parts of any size, while all other responses have a few kilobytes.

One response may take ``MAX_RESPONSE_BYTES``, those of one server together
``MAX_SERVER_BYTES`` and all together ``MAX_TOTAL_BYTES``. Once a total is
reached, a response that grows beyond ``SMALL_RESPONSE_BYTES`` is rejected, so
that responses of usual size are still served. Parts are joined as they
arrive: a list of them takes 50 times the size of parts of a byte.

Larger responses are read in turns, so that those of sound servers reach no
total. Nothing is read from the connection of one that waits.
"""

from collections import Counter
from collections.abc import Iterator
from contextlib import AsyncExitStack, contextmanager

from kumquat_core.intake.intake_gate import IntakeGate
from kumquat_core.intake.response_room import ResponseRoom

from .body_limit import ANSWER_BODY, BodyLimit
from .engine_connection import ConnectionBrokenError, EngineConnection

__all__ = ["BufferedResponse", "ResponseMemory"]

MAX_RESPONSE_BYTES = ANSWER_BODY.max_bytes
# An eighth of the memory of the smallest host, which has 128 MB.
MAX_TOTAL_BYTES = 16 * 1024 * 1024
# Leaves a part of the total to the other servers.
MAX_SERVER_BYTES = 12 * 1024 * 1024
# Ten times the longest usual response of a backend server.
SMALL_RESPONSE_BYTES = 64 * 1024


class BufferedResponse:
    """The body of one response as received so far; ``size`` in bytes."""

    def __init__(self, memory: "ResponseMemory", server_id: str) -> None:
        self._memory = memory
        self._server_id = server_id
        self._body = bytearray()

    @property
    def size(self) -> int:
        """Return the number of bytes received so far."""
        return len(self._body)

    def add(self, part: bytes) -> None:
        """Append a part; raises ``ConnectionBrokenError`` above a limit."""
        memory, size = self._memory, len(self._body) + len(part)
        if size > MAX_RESPONSE_BYTES:
            raise ConnectionBrokenError("answer is too large")
        total = memory.total_bytes + len(part)
        of_server = memory.bytes_by_server[self._server_id] + len(part)
        if size > SMALL_RESPONSE_BYTES and (
            total > MAX_TOTAL_BYTES or of_server > MAX_SERVER_BYTES
        ):
            raise ConnectionBrokenError("answers take too much memory")
        self._body += part
        memory.total_bytes = total
        memory.bytes_by_server[self._server_id] = of_server

    def to_bytes(self) -> bytes:
        """Return the body received so far."""
        return bytes(self._body)


class ResponseMemory:
    """Counts the bytes of all buffered responses, and those of each server.

    Without a ``room`` no response waits for its turn.
    """

    def __init__(self, room: ResponseRoom | None = None) -> None:
        self._room = room
        self.total_bytes = 0
        self.bytes_by_server: Counter[str] = Counter()

    @classmethod
    def from_gate(cls, gate: IntakeGate) -> "ResponseMemory":
        """Return the memory of a host with the bounds of ``gate``."""
        max_bytes = min(gate.limits.response_bytes, MAX_SERVER_BYTES)
        room = ResponseRoom(max_bytes, gate.wait_for_room, gate.count_until_unused)
        return cls(room)

    async def read_body(
        self,
        connection: EngineConnection,
        server_id: str,
        declared: int,
        limit: BodyLimit,
    ) -> bytes:
        """Read the body of a response, a large one when it is its turn.

        ``declared`` is its length in bytes, 0 if it is not known. Raises
        ``ConnectionBrokenError`` above a limit, as ``read_body`` of the
        connection does.
        """
        async with AsyncExitStack() as turn:
            is_large = declared > SMALL_RESPONSE_BYTES
            if is_large:
                size = min(declared, limit.max_bytes)
                await self._begin_turn(turn, connection, size)
            with self.buffer(server_id) as response:
                async for part in connection.read_body(limit):
                    response.add(part)
                    if not is_large and response.size > SMALL_RESPONSE_BYTES:
                        is_large = True
                        await self._begin_turn(turn, connection, limit.max_bytes)
                return response.to_bytes()

    async def _begin_turn(
        self, turn: AsyncExitStack, connection: EngineConnection, size: int
    ) -> None:
        """Read nothing from a connection until it is its turn."""
        if self._room is None:
            return
        connection.hold()
        await turn.enter_async_context(self._room.reading(size))
        connection.end_hold()

    @contextmanager
    def buffer(self, server_id: str = "") -> Iterator[BufferedResponse]:
        """Provide a buffer whose bytes are counted until the block ends."""
        buffer = BufferedResponse(self, server_id)
        try:
            yield buffer
        finally:
            self.total_bytes -= buffer.size
            self.bytes_by_server[server_id] -= buffer.size
            if not self.bytes_by_server[server_id]:
                del self.bytes_by_server[server_id]
