"""Messages between hosts with values that later code cannot use."""

import math
from dataclasses import fields, is_dataclass
from typing import Any

import msgpack
import pytest
from hypothesis import given, settings, strategies as st

from kumquat_core.peer_messages import (
    _TYPES_BY_NUMBER,
    CrashEvidence,
    CrashRecord,
    Envelope,
    HeldRun,
    MemberUpdate,
    PermitRequest,
    Ping,
    RunEnded,
    RunGrant,
    RunPrefilled,
    RunRequest,
    RunsHeld,
    RunsNoted,
    ServerLimit,
    decode,
    encode,
)
from kumquat_core.result_codes import ResultCode, RouterError

MAX_NUMBER = 2**53
deterministic = settings(derandomize=True, max_examples=200, deadline=None)
HELD = HeldRun("r1", "e1", 10, 20, 30)
UPDATE = MemberUpdate("h2", 1, 0, "alive", "127.0.0.1", 9, "a", "r")
MESSAGES = [
    Ping("h1", 5, 7, (UPDATE, UPDATE)),
    RunRequest("r1", "llm", 10, 20, 1, 900, 1000, 3000, ("e1",), 300),
    RunGrant("r1", "e1", "127.0.0.1:80", "e2", "127.0.0.1:81", 3),
    RunPrefilled("r1", "llm", 12.5),
    RunEnded("r1", "llm", 4.5, "e1", "e2"),
    RunsHeld("llm", (HELD, HELD), limits=(ServerLimit("e1", "llm", 5, 2.0),)),
    RunsNoted("h1", 12),
    PermitRequest("plain", "e1", 3),
    CrashEvidence("llm", (CrashRecord("ab", "e1/5", "127.0.0.1:80", 7, True),)),
]
# 600 levels are more than msgpack reads.
DEEP: Any = []
for _ in range(400):
    DEEP = [DEEP]
ODD_VALUES = [
    math.nan,
    math.inf,
    -math.inf,
    1e300,
    2**64 - 1,
    -(2**63),
    True,
    None,
    "",
    "x" * 1000,
    b"\xff",
    "a\r\nb",
    [],
    {},
    {"a": 1},
    [[1]],
    DEEP,
    msgpack.ExtType(5, b"x"),
    msgpack.Timestamp(2**33),
]


def check_value(value: Any, name: str = "") -> None:
    """Check that nothing in a decoded message makes later code fail."""
    match value:
        case bool() | None | str():
            pass
        case int():
            assert abs(value) <= MAX_NUMBER or name == "prefix_blocks"
        case float():
            assert math.isfinite(value) and abs(value) <= MAX_NUMBER
        case tuple():
            for item in value:
                check_value(item, name)
        case _ if is_dataclass(value):
            for field in fields(value):
                check_value(getattr(value, field.name), field.name)
        case dict():
            assert name in ("documents", "snapshot")
        case _:
            raise AssertionError(f"unexpected {type(value).__name__}")


def check_data(data: bytes) -> None:
    try:
        envelope = decode(data)
    except RouterError as error:
        assert error.code is ResultCode.PEER_PROTOCOL
        return
    check_value(envelope.message)


def places(values: Any, path: tuple[int, ...] = ()) -> list[tuple[int, ...]]:
    """Return the paths of all values in the fields of an encoded message."""
    found = []
    for number, value in enumerate(values):
        found.append((*path, number))
        if isinstance(value, list):
            found += places(value, (*path, number))
    return found


def replaced(data: bytes, path: tuple[int, ...], value: Any) -> bytes:
    document = msgpack.unpackb(data)
    target = document
    for number in path[:-1]:
        target = target[number]
    target[path[-1]] = value
    packed: bytes = msgpack.packb(document)
    return packed


@pytest.mark.parametrize("message", MESSAGES, ids=lambda item: type(item).__name__)
def test_odd_field_is_rejected_or_usable(message: Any) -> None:
    data = encode(Envelope(3, message))
    failures = []
    for path in places(msgpack.unpackb(data))[2:]:
        for value in ODD_VALUES:
            try:
                check_data(replaced(data, path, value))
            except Exception as error:
                failures.append(f"{path} {value!r:.30}: {type(error).__name__}")
    assert not failures, f"{len(failures)} odd fields: {failures}"


packable = st.recursive(
    st.none()
    | st.booleans()
    | st.integers(-(2**63), 2**64 - 1)
    | st.floats()
    | st.text(max_size=8)
    | st.binary(max_size=8),
    lambda inner: (
        st.lists(inner, max_size=8)
        | st.dictionaries(st.text(max_size=4), inner, max_size=3)
    ),
    max_leaves=12,
)


@deterministic
@given(
    st.sampled_from(sorted(_TYPES_BY_NUMBER)), st.lists(packable, max_size=12), packable
)
def test_generated_message_is_rejected_or_usable(
    number: int, values: list[Any], correlation_id: Any
) -> None:
    check_data(msgpack.packb([number, correlation_id, *values]))


@pytest.mark.parametrize(
    "data",
    [
        msgpack.packb([35, 3, "llm", 7]),
        msgpack.packb(7),
        b"\x91" * 10_000,
        b"\xdd\xff\xff\xff\xff",
        b"\xc9\xff\xff\xff\xff",
        b"\xdf\xff\xff\xff\xff",
    ],
)
def test_odd_frame_is_rejected(data: bytes) -> None:
    with pytest.raises(RouterError):
        decode(data)


@pytest.mark.parametrize(
    "odd",
    [
        ["r2", "e1", 10, 20, math.nan],
        ["r2", "e1", 10, 20, 30, 0, math.nan],
        ["r2"],
        7,
        None,
        {"request_id": "r2"},
    ],
)
def test_the_other_runs_of_a_report_are_followed(odd: Any) -> None:
    runs = msgpack.unpackb(encode(Envelope(3, RunsHeld("llm", (HELD, HELD)))))
    runs[3].insert(1, odd)
    envelope = decode(msgpack.packb(runs))
    assert isinstance(envelope.message, RunsHeld)
    assert envelope.message.runs == (HELD, HELD)
    assert envelope.left_out == 1


def test_an_odd_member_update_does_not_lose_the_ping() -> None:
    data = msgpack.unpackb(encode(Envelope(3, MESSAGES[0])))
    for field, odd in ((3, "asleep"), (5, 65536), (5, -1), (1, 2**64 - 1)):
        changed = msgpack.unpackb(msgpack.packb(data))
        changed[5][0][field] = odd
        envelope = decode(msgpack.packb(changed))
        assert isinstance(envelope.message, Ping)
        assert envelope.message.updates == (UPDATE,)


def test_message_that_cannot_be_encoded_is_a_typed_error() -> None:
    for message in (
        RunEnded("\ud800", "llm"),
        RunEnded("r1", "llm", generated_tokens=10**30),
    ):
        with pytest.raises(RouterError) as caught:
            encode(Envelope(1, message))
        assert caught.value.code is ResultCode.PEER_PROTOCOL
