"""Messages between hosts about the membership."""

from dataclasses import dataclass
from typing import Literal

from .message_fields import Port, Whole

__all__ = ["Ack", "MemberUpdate", "Ping", "PingRequest"]


@dataclass(frozen=True)
class MemberUpdate:
    """The state of a member as one host knows it.

    ``state`` is alive, suspect or dead. Only the member itself increments
    ``sequence``, to refute a suspicion.
    """

    host_id: str
    incarnation: Whole
    sequence: Whole
    state: Literal["alive", "suspect", "dead"]
    ip: str
    peer_port: Port
    failure_domain: str
    region: str


@dataclass(frozen=True)
class Ping:
    """A heartbeat that carries membership updates."""

    host_id: str
    incarnation: Whole
    ticket_position: Whole
    updates: tuple[MemberUpdate, ...] = ()


@dataclass(frozen=True)
class PingRequest:
    """Requests that the receiver ping ``target`` for the sender."""

    target: str
    ticket_position: Whole = 0
    updates: tuple[MemberUpdate, ...] = ()


@dataclass(frozen=True)
class Ack:
    """Acknowledges a ping; ``reached`` is false if an indirect ping failed."""

    host_id: str
    incarnation: Whole
    ticket_position: Whole
    reached: bool = True
    updates: tuple[MemberUpdate, ...] = ()
