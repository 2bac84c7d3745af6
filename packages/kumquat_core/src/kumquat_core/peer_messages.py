"""Typed messages between entry hosts.

A message is encoded as ``[type number, correlation id, field, ...]`` in
msgpack. Fields are validated on arrival; a message that does not match its
type raises ``RouterError`` with ``PEER_PROTOCOL``.
"""

from dataclasses import dataclass, fields
from typing import Any

import msgpack
from pydantic import TypeAdapter, ValidationError

from .crash_messages import CrashEvidence, CrashRecord, EngineCrashReport
from .limit_messages import (
    PermitGrant,
    PermitRequest,
    ServerLimit,
    ServerLimitNotice,
)
from .result_codes import ResultCode, RouterError
from .run_messages import (
    LATER_FIELD,
    EngineNoticed,
    HeldRun,
    RunEnded,
    RunGrant,
    RunPrefilled,
    RunRefusal,
    RunRequest,
    RunsHeld,
    RunsNoted,
    RunStalled,
)

__all__ = [
    "Ack",
    "AdmissionRequest",
    "CancelAdmission",
    "CrashEvidence",
    "CrashRecord",
    "EngineCrashReport",
    "EngineNoticed",
    "Envelope",
    "Grant",
    "GrantsHeld",
    "GrantsQuery",
    "HeldGrant",
    "HeldRun",
    "MemberUpdate",
    "Message",
    "PermitGrant",
    "PermitRequest",
    "Ping",
    "PingRequest",
    "PrefillDone",
    "Refusal",
    "Progress",
    "Release",
    "RunEnded",
    "RunGrant",
    "RunPrefilled",
    "RunRefusal",
    "RunRequest",
    "RunStalled",
    "RunsHeld",
    "RunsNoted",
    "ServerLimit",
    "ServerLimitNotice",
    "ShardSummary",
    "SlowStep",
    "TicketBatch",
    "TicketFetch",
    "decode",
    "encode",
]


@dataclass(frozen=True)
class MemberUpdate:
    """The state of a member as one host knows it.

    ``state`` is alive, suspect or dead. Only the member itself increments
    ``sequence``, to refute a suspicion.
    """

    host_id: str
    incarnation: int
    sequence: int
    state: str
    ip: str
    peer_port: int
    failure_domain: str
    region: str


@dataclass(frozen=True)
class Ping:
    """A heartbeat that carries membership updates."""

    host_id: str
    incarnation: int
    ticket_position: int
    updates: tuple[MemberUpdate, ...] = ()


@dataclass(frozen=True)
class PingRequest:
    """Requests that the receiver ping ``target`` for the sender."""

    target: str
    ticket_position: int = 0
    updates: tuple[MemberUpdate, ...] = ()


@dataclass(frozen=True)
class Ack:
    """Acknowledges a ping; ``reached`` is false if an indirect ping failed."""

    host_id: str
    incarnation: int
    ticket_position: int
    reached: bool = True
    updates: tuple[MemberUpdate, ...] = ()


@dataclass(frozen=True)
class ShardSummary:
    """State of a shard at the time its owner sent a reply."""

    shard_id: str
    free_pieces: int
    queued: int
    expected_wait_ms: int


@dataclass(frozen=True)
class AdmissionRequest:
    """Requests a prefill and a decode engine from a shard owner.

    Deadlines are remaining milliseconds, since the clocks of hosts differ.
    ``prefix_blocks`` are the hashes of the prompt's leading blocks.
    ``resume_tokens`` is the number of tokens already sent to the caller.
    """

    request_id: str
    shard_id: str
    tenant: str
    class_name: str
    model: str
    prompt_tokens: int
    max_tokens: int
    ttft_deadline_ms: int
    patience_ms: int
    prefix_blocks: tuple[int, ...] = ()
    excluded_engines: tuple[str, ...] = ()
    resume_tokens: int = 0
    attempt: int = 1


@dataclass(frozen=True)
class Grant:
    """Memory is reserved at the decode engine, and the prefill may start."""

    request_id: str
    shard_id: str
    prefill_engine: str
    decode_engine: str
    pieces: int
    summary: ShardSummary


@dataclass(frozen=True)
class Refusal:
    """The owner does not admit a request; ``code`` is a result code."""

    request_id: str
    code: int
    detail: str
    retry_after_ms: int
    summary: ShardSummary | None = None


@dataclass(frozen=True)
class PrefillDone:
    """The prefill has ended; the request still uses its decode engine."""

    request_id: str
    shard_id: str
    prefill_ms: float
    cached_tokens: int


@dataclass(frozen=True)
class SlowStep:
    """A token took much longer than a decode step of a full batch.

    It is sent while the stream is open, because its ``Release`` follows only
    seconds later.
    """

    request_id: str
    shard_id: str
    gap_ms: float


@dataclass(frozen=True)
class Release:
    """The request no longer uses its engines.

    Times are those that the entry host observed, zero for a stage that the
    request did not reach.
    """

    request_id: str
    shard_id: str
    code: int
    prefill_ms: float = 0.0
    ttft_ms: float = 0.0
    tbt_ms: float = 0.0
    tokens: int = 0
    failed_engine: str = ""


@dataclass(frozen=True)
class CancelAdmission:
    """The entry host no longer waits for the grant of a request."""

    request_id: str
    shard_id: str


@dataclass(frozen=True)
class HeldGrant:
    """A grant whose engines an entry host still uses."""

    request_id: str
    prefill_engine: str
    decode_engine: str
    pieces: int
    prefilling: bool


@dataclass(frozen=True)
class GrantsQuery:
    """Asks an entry host which of its requests are still open.

    It names either the requests or the engines whose grants are queried.
    """

    request_ids: tuple[str, ...] = ()
    engine_ids: tuple[str, ...] = ()


@dataclass(frozen=True)
class GrantsHeld:
    """Replies to a ``GrantsQuery``.

    ``waiting`` lists the queried requests that have no grant yet. Request ids
    are never reused, so a queried request in neither list has ended for good.
    """

    host_id: str
    incarnation: int
    grants: tuple[HeldGrant, ...] = ()
    waiting: tuple[str, ...] = ()


@dataclass(frozen=True)
class TicketFetch:
    """Requests the tickets after a position of the log."""

    after_position: int


@dataclass(frozen=True)
class TicketBatch:
    """Ticket documents, or a snapshot if the log tail lacks some of them."""

    position: int
    documents: tuple[dict[str, Any], ...] = ()
    snapshot: dict[str, Any] | None = None


# Messages of an entry host to a shard owner about the progress of a request.
Progress = PrefillDone | SlowStep | Release | CancelAdmission

Message = (
    Ack
    | AdmissionRequest
    | CancelAdmission
    | CrashEvidence
    | EngineCrashReport
    | EngineNoticed
    | Grant
    | GrantsHeld
    | GrantsQuery
    | PermitGrant
    | PermitRequest
    | Ping
    | PingRequest
    | PrefillDone
    | Refusal
    | Release
    | RunEnded
    | RunGrant
    | RunPrefilled
    | RunRefusal
    | RunRequest
    | RunStalled
    | RunsHeld
    | RunsNoted
    | ServerLimitNotice
    | SlowStep
    | TicketBatch
    | TicketFetch
)


@dataclass(frozen=True)
class Envelope:
    """A message with its correlation id; 0 means that no reply is wanted."""

    correlation_id: int
    message: Message


_TYPES_BY_NUMBER: dict[int, type[Any]] = {
    1: Ping,
    2: PingRequest,
    3: Ack,
    10: AdmissionRequest,
    11: Grant,
    12: Refusal,
    13: PrefillDone,
    14: Release,
    18: SlowStep,
    15: CancelAdmission,
    16: GrantsQuery,
    17: GrantsHeld,
    20: TicketFetch,
    21: TicketBatch,
    30: RunRequest,
    31: RunGrant,
    32: RunRefusal,
    33: RunPrefilled,
    34: RunEnded,
    35: RunsHeld,
    36: RunsNoted,
    37: RunStalled,
    38: EngineNoticed,
    39: ServerLimitNotice,
    40: PermitRequest,
    41: PermitGrant,
    42: CrashEvidence,
    43: EngineCrashReport,
}
_NUMBERS_BY_TYPE = {value: key for key, value in _TYPES_BY_NUMBER.items()}
_ADAPTERS_BY_NUMBER = {
    number: TypeAdapter(message_type)
    for number, message_type in _TYPES_BY_NUMBER.items()
}
_FIELD_NAMES_BY_NUMBER = {
    number: tuple(item.name for item in fields(message_type))
    for number, message_type in _TYPES_BY_NUMBER.items()
}
_NESTED_TYPES: dict[str, type[Any]] = {
    "updates": MemberUpdate,
    "summary": ShardSummary,
    "grants": HeldGrant,
    "runs": HeldRun,
    "limit": ServerLimit,
    "limits": ServerLimit,
    "records": CrashRecord,
}
# Nested types whose fields hold tuples of them.
_TUPLE_FIELDS = frozenset({"updates", "grants", "runs", "limits", "records"})
_FIELD_NAMES_BY_TYPE: dict[type[Any], tuple[str, ...]] = {
    message_type: tuple(item.name for item in fields(message_type))
    for message_type in (*_TYPES_BY_NUMBER.values(), *_NESTED_TYPES.values())
}
_LATER_DEFAULTS_BY_TYPE: dict[type[Any], tuple[Any, ...]] = {
    message_type: tuple(
        item.default for item in fields(message_type) if item.metadata == LATER_FIELD
    )
    for message_type in _TYPES_BY_NUMBER.values()
}


def encode(envelope: Envelope) -> bytes:
    """Return a message encoded in msgpack."""
    number = _NUMBERS_BY_TYPE[type(envelope.message)]
    values = _encode_fields(envelope.message)
    for default in reversed(_LATER_DEFAULTS_BY_TYPE[type(envelope.message)]):
        if values[-1] != _encode_default(default):
            break
        values.pop()
    encoded: bytes = msgpack.packb([number, envelope.correlation_id, *values])
    return encoded


def _encode_default(default: Any) -> Any:
    """Return the default of a later field as ``_encode_fields`` writes it."""
    return list(default) if isinstance(default, tuple) else default


def _encode_fields(message: Any) -> list[Any]:
    """Return the fields of a message, with nested data classes as lists.

    ``dataclasses.astuple`` would copy every value, which took most of the
    time of encoding a ping with eight updates.
    """
    return [
        _encode_field(name, getattr(message, name))
        for name in _FIELD_NAMES_BY_TYPE[type(message)]
    ]


def _encode_field(name: str, value: Any) -> Any:
    """Return the value of a field, nested data classes as lists."""
    if name not in _NESTED_TYPES or value is None:
        return value
    if isinstance(value, tuple):
        return [_encode_fields(item) for item in value]
    return _encode_fields(value)


def decode(data: bytes) -> Envelope:
    """Return the message that msgpack data contains.

    Raises ``RouterError`` with ``PEER_PROTOCOL`` if it is malformed.
    """
    try:
        number, correlation_id, *values = msgpack.unpackb(data, use_list=False)
        names = _FIELD_NAMES_BY_NUMBER[number]
        later = len(_LATER_DEFAULTS_BY_TYPE[_TYPES_BY_NUMBER[number]])
        if not len(names) - later <= len(values) <= len(names):
            raise ValueError("wrong number of fields")
        if not isinstance(correlation_id, int):
            raise ValueError("wrong correlation id")
        document = {
            name: _decode_field(name, value)
            for name, value in zip(names, values, strict=False)
        }
        message = _ADAPTERS_BY_NUMBER[number].validate_python(document)
    except (
        ValueError,
        TypeError,
        KeyError,
        msgpack.UnpackException,
        ValidationError,
    ) as error:
        detail = f"malformed message: {type(error).__name__}"
        raise RouterError(ResultCode.PEER_PROTOCOL, detail) from error
    return Envelope(correlation_id, message)


def _decode_field(name: str, value: Any) -> Any:
    """Return a field, tuples of nested data classes as dictionaries."""
    nested_type = _NESTED_TYPES.get(name)
    if nested_type is None or value is None:
        return value
    names = [item.name for item in fields(nested_type)]
    if name in _TUPLE_FIELDS:
        return tuple(dict(zip(names, item, strict=True)) for item in value)
    return dict(zip(names, value, strict=True))
