"""Messages about the request rates that servers name.

``peer_messages`` encodes them together with the other messages.
"""

from dataclasses import dataclass
from typing import Annotated

from pydantic import Field

__all__ = ["PermitGrant", "PermitRequest", "ServerLimit", "ServerLimitNotice"]


@dataclass(frozen=True)
class ServerLimit:
    """The requests per second that a server takes from all hosts together.

    ``born_ms`` is the start of the server in Unix milliseconds.
    """

    engine: str
    service: str
    born_ms: int
    rate_per_s: Annotated[float, Field(ge=0, allow_inf_nan=False)]


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
    """Asks the owner of a limit group for permits to send to a server."""

    service: str
    engine: str
    wanted: Annotated[int, Field(ge=1)]


@dataclass(frozen=True)
class PermitGrant:
    """Replies to a ``PermitRequest``.

    If ``granted`` is less than wanted, the host asks again after ``wait_ms``.
    """

    engine: str
    granted: Annotated[int, Field(ge=0)]
    wait_ms: Annotated[int, Field(ge=0)]
