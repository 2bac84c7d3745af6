"""Tests of the decision whether a response is an answer, and of its record."""

from collections.abc import Sequence

import pytest

from kumquat_core.clock import ManualClock
from kumquat_relay.answer_check import AnswerFault, answer_fault, is_joined_head
from kumquat_relay.rejected_answers import MAX_LINES_PER_PERIOD, RejectedAnswers

from .relay_harness import RelayHarness, run_scenario
from .stutter import Copy, Exchange


@pytest.mark.parametrize(
    ("ids", "reused", "fault"),
    [
        (["mine"], False, None),
        (["mine"], True, None),
        ([], False, None),
        ([], True, AnswerFault.NO_ID),
        (["other"], False, AnswerFault.OTHER_ID),
        (["other"], True, AnswerFault.OTHER_ID),
        (["Mine"], True, AnswerFault.OTHER_ID),
        (["mine, mine"], True, AnswerFault.OTHER_ID),
        ([""], False, AnswerFault.OTHER_ID),
        (["mine", "mine"], False, AnswerFault.SEVERAL_IDS),
        (["mine", "other"], True, AnswerFault.SEVERAL_IDS),
    ],
)
def test_an_answer_bears_the_id_of_its_request(
    ids: Sequence[str], reused: bool, fault: AnswerFault | None
) -> None:
    """Where an earlier answer could be written again, the id decides alone."""
    assert answer_fault(ids, "mine", reused=reused) is fault


@pytest.mark.parametrize(
    ("reason", "headers", "joined"),
    [
        (b"OK", [(b"Via", b"HTTP/1.1 proxy"), (b"X-Request-Id", b"mine")], False),
        (b"InternHTTP/1.1 200 OK", [], True),
        (b"HTTP/1.1 200 OK", [], True),
        (b"OK", [(b"Retry-After", b"1HTTP/1.1 200 OK")], True),
        (b"OK", [(b"X-Not-Executed", b"HTTP/1.1 404")], True),
        (b"OK", [(b"X-Request-Id", b"mineHTTP/1.1 200 OK")], True),
    ],
)
def test_a_head_that_is_joined_of_two_is_recognized(
    reason: bytes, headers: list[tuple[bytes, bytes]], joined: bool
) -> None:
    """Such a head has the refusal of one answer and the id of the other."""
    assert is_joined_head(reason, headers, "mine") is joined


def test_an_id_that_looks_like_a_status_line_does_not_reject_answers() -> None:
    """A caller could otherwise let each server look like a faulty one."""
    headers = [(b"X-Request-Id", b"HTTP/1.1 200 OK")]
    assert not is_joined_head(b"OK", headers, "HTTP/1.1 200 OK")


def test_lines_of_rejected_answers_are_limited_and_all_are_counted(
    caplog: pytest.LogCaptureFixture,
) -> None:
    """A stuttering server may otherwise fill the disk with log lines."""
    clock = ManualClock()
    counted: list[str] = []
    rejected = RejectedAnswers(clock, counted.append)
    with caplog.at_level("INFO"):
        for number in range(50):
            rejected.record(AnswerFault.NO_ID, "e", f"r{number}", 500, 2)
        assert len(caplog.records) == MAX_LINES_PER_PERIOD
        clock.advance(1.0)
        rejected.record(AnswerFault.NO_ID, "e", "r50", 500, 2)
    assert len(caplog.records) == MAX_LINES_PER_PERIOD + 1
    assert counted == ["no_id"] * 51


def test_a_rejected_answer_is_counted_and_named_as_the_reason() -> None:
    """Operators could not tell a copied answer from a broken connection."""

    async def scenario(harness: RelayHarness) -> None:
        def plan(exchange: Exchange) -> Copy:
            return Copy(exchange.answer)

        for proxy in harness.proxies_by_id.values():
            proxy.plan = plan
        statuses = [await harness.request_status("once") for _ in range(4)]
        assert 502 in statuses
        metrics = harness.host._parts.metrics.text().decode()
        count = statuses.count(502)
        line = f'kumquat_relay_rejected_answers_total{{fault="other_id"}} {count}.0'
        assert line in metrics

    run_scenario(scenario, stuttering=True)
