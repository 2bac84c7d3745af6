"""The interface through which a streamed response is sent to its caller."""

from collections.abc import Sequence
from typing import Protocol

__all__ = ["CallerDisconnectedError", "ResponseSink"]


class CallerDisconnectedError(Exception):
    """The caller has closed its connection."""


class ResponseSink(Protocol):
    """Sends one streamed response to the caller."""

    @property
    def started(self) -> bool:
        """Tell whether the response head was sent."""

    async def start(self, status: int, headers: Sequence[tuple[str, str]]) -> None:
        """Send the response head; raises ``CallerDisconnectedError``."""

    async def write(self, data: bytes) -> None:
        """Send a part of the body; raises ``CallerDisconnectedError``."""

    async def finish(self) -> None:
        """Complete the response; raises ``CallerDisconnectedError``."""
