"""The token events of an engine's stream."""

import asyncio
import json
import re
from collections.abc import AsyncIterator
from typing import NamedTuple

import aiohttp

from .parsing_turns import turns_of_loop
from .result_codes import ResultCode, RouterError

__all__ = ["MAX_EVENT_BYTES", "Token", "parse_events", "read_token_batches"]

EVENT_SEPARATOR = b"\n\n"
END_EVENT = "data: [DONE]\n\n"
# A thousand times the size of a typical token event.
MAX_EVENT_BYTES = 64 * 1024

# A token event: its index, and its text as a valid JSON string.
TOKEN_EVENT = re.compile(
    r'data: \{"i": ?([0-9]{1,9}), ?"t": ?'
    r'("[^"\\\x00-\x1f]*(?:\\(?:["\\/bfnrt]|u[0-9a-fA-F]{4})[^"\\\x00-\x1f]*)*")'
    r"\}\n\n"
)


class Token(NamedTuple):
    """One output token and its position in the output, from 0.

    ``literal`` is the text as a JSON string with its quotes. It is forwarded
    to the caller unchanged, since decoding and encoding each token would cost
    more than all other work on it.
    """

    position: int
    literal: str

    @property
    def text(self) -> str:
        """Return the decoded text."""
        text: str = json.loads(self.literal)
        return text


async def read_token_batches(
    content: aiohttp.StreamReader, idle_timeout_s: float | None = None
) -> AsyncIterator[list[Token]]:
    """Yield a batch of tokens for each read that completes token events.

    Raises ``TimeoutError`` when no complete event arrives within
    ``idle_timeout_s``, even if bytes do. The time that the consumer spends
    on a batch does not count.
    """
    pending = b""
    while True:
        async with asyncio.timeout(idle_timeout_s):
            events, pending = await _read_complete_events(content, pending)
        batch, ended = parse_events(events)
        if batch:
            yield batch
        if ended:
            return


async def _read_complete_events(
    content: aiohttp.StreamReader, pending: bytes
) -> tuple[bytes, bytes]:
    """Read until an event is complete; return the events and the bytes after.

    Raises ``RouterError`` with ``STREAM_INTERRUPTED`` when the stream ends
    first and ``ENGINE_FAILED`` when an event exceeds ``MAX_EVENT_BYTES``.
    """
    while True:
        data = await content.readany()
        if not data:
            raise RouterError(ResultCode.STREAM_INTERRUPTED, "no end marker")
        events, separator, pending = (pending + data).rpartition(EVENT_SEPARATOR)
        if len(pending) > MAX_EVENT_BYTES:
            raise RouterError(ResultCode.ENGINE_FAILED, "event does not end")
        if separator:
            return events + separator, pending
        # One chunk after another may arrive without completing an event.
        await turns_of_loop().wait_for_turn()


def parse_events(events: bytes) -> tuple[list[Token], bool]:
    """Return the tokens of complete events, and whether the output ended.

    Raises ``RouterError`` with ``ENGINE_FAILED`` if the bytes contain anything
    but token events and a final end event.
    """
    try:
        text = events.decode()
    except UnicodeDecodeError as error:
        raise RouterError(ResultCode.ENGINE_FAILED, "event is not UTF-8") from error
    batch = [Token(int(index), literal) for index, literal in TOKEN_EVENT.findall(text)]
    remainder = TOKEN_EVENT.sub("", text) if len(batch) * 2 != text.count("\n") else ""
    ended = remainder == END_EVENT and text.endswith(END_EVENT)
    if remainder and not ended:
        raise RouterError(ResultCode.ENGINE_FAILED, "malformed token event")
    return batch, ended
