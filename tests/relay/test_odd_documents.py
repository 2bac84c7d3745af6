"""Entries of another writer that get past the parsers, or end them."""

import dataclasses
import json
import math
from enum import Enum
from typing import Any

import pytest
from hypothesis import given, settings, strategies as st
from kumquat_platform.documents import (
    parse_configuration,
    parse_engine,
    parse_host,
    parse_lease,
)

from kumquat_core.settings import Address

from .odd_values import (
    ENGINE,
    MAX_NUMBER,
    ODD_TEXTS,
    WHOLE_VALUES,
    field_paths,
    json_values,
    replace_field,
)
from .relay_harness import configuration

deterministic = settings(derandomize=True, max_examples=100, deadline=None)

HOST = {
    "ip": "127.0.0.1",
    "peer_port": 7000,
    "failure_domain": "a",
    "incarnation": 1000,
    "strength": 1.0,
}
LEASE = {"holder": "h1", "used_until_ms": 5000}
SPLIT_ROUTE = {
    **configuration()["routes"][1],
    "service": None,
    "split": [{"service": "plain", "weight": 3}, {"service": "other", "weight": 1}],
}
CONFIGURATION = configuration(
    routes=[*configuration()["routes"][:1], SPLIT_ROUTE],
)
DOCUMENTS = {
    "engine": (ENGINE, lambda data: parse_engine("e1", data)),
    "host": (HOST, lambda data: parse_host("h1", data)),
    "lease": (LEASE, parse_lease),
    "configuration": (CONFIGURATION, parse_configuration),
}
odd_texts = st.sampled_from(ODD_TEXTS) | json_values.map(json.dumps)


def check_value(value: Any, *, is_sent: bool = True) -> None:
    """Check that nothing in a parsed value makes later code fail.

    ``is_sent``: texts of the value are sent in headers.
    """
    match value:
        case bool() | None | Enum():
            pass
        case int():
            assert -1 <= value <= MAX_NUMBER
        case float():
            assert math.isfinite(value)
        case str():
            value.encode()
            assert value.isprintable() or not is_sent
        case Address():
            assert 1 <= value.port <= 65535
            parts = value.ip.split(".")
            assert len(parts) == 4 and all(0 <= int(part) <= 255 for part in parts)
        case dict():
            for key, item in value.items():
                check_value(key, is_sent=is_sent)
                check_value(item, is_sent=is_sent)
        case tuple() | list():
            for item in value:
                check_value(item, is_sent=is_sent)
        case _ if dataclasses.is_dataclass(value):
            for item in dataclasses.fields(value):
                check_value(getattr(value, item.name), is_sent=is_sent)
        case _:
            raise AssertionError(f"unexpected {type(value).__name__}")


def check_parser(name: str, data: bytes) -> None:
    """Check that a parser returns a usable value or raises ``ValueError``."""
    _, parse = DOCUMENTS[name]
    try:
        value = parse(data)
    except ValueError:
        return
    check_value(value, is_sent=name != "configuration")


@pytest.mark.parametrize("name", DOCUMENTS)
def test_valid_document_is_parsed(name: str) -> None:
    document, parse = DOCUMENTS[name]
    check_value(parse(json.dumps(document).encode()))


@pytest.mark.parametrize("name", DOCUMENTS)
def test_odd_field_is_rejected_or_usable(name: str) -> None:
    document, _ = DOCUMENTS[name]
    failures = []
    for path in field_paths(document):
        for text in ODD_TEXTS:
            try:
                check_parser(name, replace_field(document, path, text))
            except Exception as error:
                failures.append(f"{path} {text[:30]}: {type(error).__name__}")
    assert not failures, f"{len(failures)} odd fields: {failures}"


@pytest.mark.parametrize("name", DOCUMENTS)
@pytest.mark.parametrize("data", WHOLE_VALUES, ids=range(len(WHOLE_VALUES)))
def test_odd_document_is_rejected(name: str, data: bytes) -> None:
    _, parse = DOCUMENTS[name]
    with pytest.raises(ValueError):
        parse(data)


@pytest.mark.parametrize("name", DOCUMENTS)
@deterministic
@given(data=st.data())
def test_generated_field_is_rejected_or_usable(name: str, data: st.DataObject) -> None:
    document, _ = DOCUMENTS[name]
    path = data.draw(st.sampled_from(sorted(field_paths(document), key=str)))
    check_parser(name, replace_field(document, path, data.draw(odd_texts)))


@pytest.mark.parametrize("name", DOCUMENTS)
@deterministic
@given(value=st.binary(max_size=64) | json_values.map(lambda v: json.dumps(v).encode()))
def test_generated_document_is_rejected_or_usable(name: str, value: bytes) -> None:
    check_parser(name, value)


@pytest.mark.parametrize(
    "changes",
    [
        {"addr": "127.0.0.1:70000"},
        {"addr": "127.0.0.1:0"},
        {"addr": "0.0.0.0:80"},
        {"addr": "999.1.1.1:80"},
        {"slots": True},
        {"slots": 10**12},
        {"born": -1},
        {"zone": "a\r\nX-Stage: prefill"},
        {"state": "asleep"},
        {"stage": "both"},
    ],
)
def test_odd_engine_names_no_engine_to_use(changes: dict[str, Any]) -> None:
    with pytest.raises(ValueError):
        parse_engine("e1", json.dumps(ENGINE | changes).encode())


@pytest.mark.parametrize("key", ["", "a\r\nb", "a b\n", " a", "\ud800", "\x00"])
def test_engine_id_that_cannot_be_sent_is_rejected(key: str) -> None:
    with pytest.raises(ValueError):
        parse_engine(key, json.dumps(ENGINE).encode())


def test_last_of_two_equal_keys_counts() -> None:
    text = '{"addr": "127.0.0.1:70000", ' + json.dumps(ENGINE)[1:]
    assert parse_engine("e1", text.encode()).address.port == 8080
