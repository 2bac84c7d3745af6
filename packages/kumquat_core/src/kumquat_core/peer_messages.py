"""Typed messages between entry hosts.

A message is encoded as ``[type number, correlation id, field, ...]`` in
msgpack. Fields are validated on arrival; a message that does not match its
type raises ``MalformedMessageError``. Of a message that holds many items, such
as a report of runs, only those that do not match are left out.
"""

from dataclasses import dataclass, fields
from typing import Any

import msgpack
from pydantic import TypeAdapter

from .admission_messages import (
    AdmissionRequest,
    CancelAdmission,
    Grant,
    GrantsHeld,
    GrantsQuery,
    HeldGrant,
    PrefillDone,
    Progress,
    Refusal,
    Release,
    ShardSummary,
    SlowStep,
)
from .crash_messages import (
    CrashEvidence,
    CrashRecord,
    EngineCrashReport,
    TrialEnded,
    TrialGrant,
    TrialRequest,
)
from .limit_messages import (
    PermitGrant,
    PermitRequest,
    ServerLimit,
    ServerLimitNotice,
)
from .load_messages import (
    LoadReport,
    LoadShares,
    RankDemand,
    ServerLoad,
    ServerShare,
)
from .member_messages import Ack, MemberUpdate, Ping, PingRequest
from .message_fields import LATER_FIELD, Whole
from .quota_messages import QuotaGrant, QuotaLease, QuotaNeed, QuotaRequest
from .result_codes import ResultCode, RouterError
from .run_messages import (
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
    "LoadReport",
    "LoadShares",
    "MemberUpdate",
    "MalformedMessageError",
    "Message",
    "NotUnderstood",
    "PermitGrant",
    "PermitRequest",
    "Ping",
    "PingRequest",
    "PrefillDone",
    "QuotaGrant",
    "QuotaLease",
    "QuotaNeed",
    "QuotaRequest",
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
    "ServerLoad",
    "ServerShare",
    "ShardSummary",
    "SlowStep",
    "TicketBatch",
    "TicketFetch",
    "TrialEnded",
    "TrialGrant",
    "TrialRequest",
    "decode",
    "encode",
]


@dataclass(frozen=True)
class TicketFetch:
    """Requests the tickets after a position of the log."""

    after_position: Whole


@dataclass(frozen=True)
class TicketBatch:
    """Ticket documents, or a snapshot if the log tail lacks some of them."""

    position: Whole
    documents: tuple[dict[str, Any], ...] = ()
    snapshot: dict[str, Any] | None = None


@dataclass(frozen=True)
class NotUnderstood:
    """Replies to a message that the receiver could not decode."""


class MalformedMessageError(RouterError):
    """A message could not be decoded.

    ``correlation_id`` is 0 if it is not known or no reply is wanted.
    """

    def __init__(self, detail: str, correlation_id: int = 0) -> None:
        super().__init__(ResultCode.PEER_PROTOCOL, f"malformed message: {detail}")
        self.correlation_id = correlation_id


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
    | LoadReport
    | LoadShares
    | NotUnderstood
    | PermitGrant
    | PermitRequest
    | Ping
    | PingRequest
    | PrefillDone
    | QuotaGrant
    | QuotaRequest
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
    | TrialEnded
    | TrialGrant
    | TrialRequest
)


@dataclass(frozen=True)
class Envelope:
    """A message with its correlation id; 0 means that no reply is wanted.

    ``left_out`` is the number of items that could not be decoded.
    """

    correlation_id: int
    message: Message
    left_out: int = 0


_TYPES_BY_NUMBER: dict[int, type[Any]] = {
    1: Ping,
    2: PingRequest,
    3: Ack,
    4: NotUnderstood,
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
    44: TrialRequest,
    45: TrialGrant,
    46: TrialEnded,
    47: QuotaRequest,
    48: QuotaGrant,
    49: LoadReport,
    50: LoadShares,
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
    "needs": QuotaNeed,
    "leases": QuotaLease,
    "servers": ServerLoad,
    "shares": ServerShare,
    "demand": RankDemand,
}
_NESTED_ADAPTERS = {name: TypeAdapter(item) for name, item in _NESTED_TYPES.items()}
# Nested types whose fields hold tuples of them.
_TUPLE_FIELDS = frozenset(
    {
        "updates",
        "grants",
        "runs",
        "limits",
        "records",
        "needs",
        "leases",
        "servers",
        "shares",
        "demand",
    }
)
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
    """Return a message encoded in msgpack.

    Raises ``RouterError`` with ``PEER_PROTOCOL`` if msgpack cannot hold it.
    """
    number = _NUMBERS_BY_TYPE[type(envelope.message)]
    values = _encode_fields(envelope.message)
    for default in reversed(_LATER_DEFAULTS_BY_TYPE[type(envelope.message)]):
        if values[-1] != _encode_default(default):
            break
        values.pop()
    try:
        encoded: bytes = msgpack.packb([number, envelope.correlation_id, *values])
    except (OverflowError, ValueError, TypeError) as error:
        detail = f"cannot be encoded: {type(error).__name__}"
        raise RouterError(ResultCode.PEER_PROTOCOL, detail) from error
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


# What a malformed message raises while it is decoded.
_MALFORMED = (ValueError, TypeError, KeyError, msgpack.UnpackException)


def decode(data: bytes) -> Envelope:
    """Return the message that msgpack data contains.

    Raises ``MalformedMessageError``.
    """
    correlation_id = 0
    try:
        number, correlation_id, *values = msgpack.unpackb(data, use_list=False)
        correlation_id = _check_correlation_id(correlation_id)
        names = _FIELD_NAMES_BY_NUMBER[number]
        later = len(_LATER_DEFAULTS_BY_TYPE[_TYPES_BY_NUMBER[number]])
        if not len(names) - later <= len(values) <= len(names):
            raise ValueError("wrong number of fields")
        values_by_name = dict(zip(names, values, strict=False))
        return _decode_message(number, correlation_id, values_by_name)
    except _MALFORMED as error:
        raise MalformedMessageError(type(error).__name__, correlation_id) from error


def _check_correlation_id(value: Any) -> int:
    if type(value) is not int or value < 0:
        raise ValueError("wrong correlation id")
    return value


def _decode_message(
    number: int, correlation_id: int, values: dict[str, Any]
) -> Envelope:
    """Return a message; leave out items that do not match their type."""
    adapter = _ADAPTERS_BY_NUMBER[number]
    try:
        document = {name: _decode_field(name, value) for name, value in values.items()}
        return Envelope(correlation_id, adapter.validate_python(document))
    except _MALFORMED:
        names = [name for name in values if name in _TUPLE_FIELDS]
        valid = {name: _keep_valid(name, values[name]) for name in names}
        left_out = sum(
            len(values[name] or ()) - len(valid[name] or ()) for name in names
        )
        if not left_out:
            raise
        document = {
            name: valid[name] if name in valid else _decode_field(name, value)
            for name, value in values.items()
        }
        message = adapter.validate_python(document)
        return Envelope(correlation_id, message, left_out)


def _keep_valid(name: str, items: Any) -> tuple[Any, ...] | None:
    """Return the items of a field that match their type."""
    if items is None:
        return None
    if not isinstance(items, tuple):
        raise TypeError("not a list of items")
    valid = []
    for item in items:
        try:
            (value,) = _decode_field(name, (item,))
            valid.append(_NESTED_ADAPTERS[name].validate_python(value))
        except _MALFORMED:
            continue
    return tuple(valid)


def _decode_field(name: str, value: Any) -> Any:
    """Return a field, tuples of nested data classes as dictionaries."""
    nested_type = _NESTED_TYPES.get(name)
    if nested_type is None or value is None:
        return value
    names = _FIELD_NAMES_BY_TYPE[nested_type]
    if name in _TUPLE_FIELDS:
        return tuple(dict(zip(names, item, strict=True)) for item in value)
    return dict(zip(names, value, strict=True))
