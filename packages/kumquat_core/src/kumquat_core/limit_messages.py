"""Messages about the request rates that servers name.

``peer_messages`` encodes them together with the other messages.
"""

from collections.abc import Iterable
from dataclasses import dataclass
from functools import lru_cache
from typing import Annotated

import xxhash
from pydantic import Field

from .message_fields import Figure, Whole

__all__ = [
    "NO_LIMITS_DIGEST",
    "PermitGrant",
    "PermitRequest",
    "ServerLimit",
    "ServerLimitNotice",
    "limits_digest",
]

NO_LIMITS_DIGEST = 0


@dataclass(frozen=True)
class ServerLimit:
    """The requests per second that a server takes from all hosts together.

    ``born_ms`` is the start of the server in Unix milliseconds.
    """

    engine: str
    service: str
    born_ms: Whole
    rate_per_s: Annotated[Figure, Field(ge=0)]


def limits_digest(limits: Iterable[ServerLimit]) -> int:
    """Return a 32-bit digest by which two hosts compare the limits they know.

    The order of the limits does not matter.
    """
    return _digest(frozenset(limits))


@lru_cache(maxsize=64)
def _digest(limits: frozenset[ServerLimit]) -> int:
    if not limits:
        return NO_LIMITS_DIGEST
    lines = sorted(repr(limit) for limit in limits)
    return xxhash.xxh32_intdigest("\n".join(lines).encode())


@dataclass(frozen=True)
class ServerLimitNotice:
    """A response of a server to the sender names a limit or no longer does.

    ``service`` is the limit group, whose owner receives the message.
    """

    service: str
    limit: ServerLimit
    named: bool


@dataclass(frozen=True)
class PermitRequest:
    """Requests permits to send to a server from the owner of its limit."""

    service: str
    engine: str
    wanted: Annotated[Whole, Field(ge=1)]


@dataclass(frozen=True)
class PermitGrant:
    """Replies to a ``PermitRequest``.

    If ``granted`` is less than wanted, the host tries again after ``wait_ms``.
    """

    engine: str
    granted: Annotated[Whole, Field(ge=0)]
    wait_ms: Annotated[Whole, Field(ge=0)]
