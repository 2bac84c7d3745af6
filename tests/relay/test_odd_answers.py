"""Odd answers of engines, and odd numbers of callers, that end a request."""

import json
from typing import Any

import pytest
from hypothesis import given, settings, strategies as st
from kumquat_platform.dialect import PlatformDialect

from kumquat_core.settings import Address
from kumquat_relay.engine_registry import EngineEntry

from .odd_values import MAX_NUMBER, ODD_TEXTS, json_values, replace_field
from .relay_harness import RelayHarness, run_scenario

deterministic = settings(derandomize=True, max_examples=100, deadline=None)
ENGINE = EngineEntry("e1", "llm", Address("127.0.0.1", 80), "a", 12, False)
ANSWERS = {
    "prefill": {"kv_handle": "h1", "tokens": 30},
    "reservation": {"hold": "r1"},
    "report": {"busy": False, "seq": 3},
}


def check_answer(kind: str, body: bytes) -> None:
    """Check that an answer is a ``ValueError`` or can be used."""
    dialect = PlatformDialect()
    try:
        match kind:
            case "prefill":
                result = dialect.prefill_result(body, ENGINE)
                name, number = result.handle, result.tokens
                dialect.release_prefill(result)
            case "reservation":
                name, number = dialect.parse_reservation(body), 0
            case _:
                name, number = "x", dialect.report(body).role_command_count
    except ValueError as error:
        assert len(str(error)) < 300
        return
    assert name.isprintable() and " " not in name and 0 < len(name.encode()) <= 200
    assert abs(number) <= MAX_NUMBER


@pytest.mark.parametrize("kind", ANSWERS)
def test_odd_answer_is_rejected_or_usable(kind: str) -> None:
    failures = []
    for field in ANSWERS[kind]:
        for text in ODD_TEXTS:
            try:
                check_answer(kind, replace_field(ANSWERS[kind], (field,), text))
            except Exception as error:
                failures.append(f"{field} {text[:30]}: {type(error).__name__}")
    assert not failures, f"{len(failures)} odd answers: {failures}"


@pytest.mark.parametrize("kind", ANSWERS)
@deterministic
@given(value=json_values, data=st.data())
def test_generated_answer_is_rejected_or_usable(
    kind: str, value: Any, data: st.DataObject
) -> None:
    field = data.draw(st.sampled_from(sorted(ANSWERS[kind])))
    check_answer(kind, json.dumps(ANSWERS[kind] | {field: value}).encode())
    check_answer(kind, json.dumps(value).encode())


def test_callers_with_odd_numbers_are_answered() -> None:
    async def scenario(harness: RelayHarness) -> None:
        for number in ("9" * 5000, "9" * 30, "0" * 5000 + "2500"):
            for name in ("X-Deadline-Ms", "X-Length-Hint"):
                for route in ("once", "story"):
                    status = await harness.request_status(route, **{name: number})
                    assert status == 200
            # The header is forwarded, and engines may refuse it.
            status = await harness.request_status("story", **{"Last-Event-Id": number})
            assert status in (200, 502)
            status = await harness.request_status(
                "story", **{"X-Token-Counts": f"{number},{number}"}
            )
            assert status in (200, 400, 503)

    run_scenario(scenario)
