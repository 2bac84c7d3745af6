"""Tests of streams that broke off and whose next engine answers oddly.

Callers found the text or the whole head of an error in their stream, or the
stream ended as if it were complete. Requests are read as raw bytes: an HTTP
client hides what follows a complete response.
"""

import pytest

from kumquat_core.log_events import KeyValueFormatter

from .odd_streams import ODD_ANSWERS
from .raw_answers import RawAnswer, exchange
from .relay_harness import RelayHarness, configuration, run_scenario

EVENTS = b"".join(f"id: {n}\ndata: e{n}\n\n".encode() for n in range(1, 6))
BROKEN_AFTER = 2
RECEIVED = EVENTS[: BROKEN_AFTER * len(EVENTS) // 5]
# Odd only after a first event that continues the stream.
CONTINUES_FIRST = {"goes_back_later": 1}


async def send_story(harness: RelayHarness, version: str = "1.1") -> RawAnswer:
    """Send a stream that may be resumed; return what its caller reads."""
    return await exchange(
        harness.host._options.callers, "story", harness.next_request_id(), version
    )


async def allow_runs(harness: RelayHarness, runs: int) -> None:
    """Let the streams of the harness run at as many engines."""
    document = configuration(version=4)
    for route in document["routes"]:
        route["max_attempts"] = runs
    harness.store.put("op", "config", document)
    await harness.wait_until(
        lambda: harness.host._parts.cluster_state.routes.version == 4
    )


def set_odd_answers(harness: RelayHarness, kind: str, times: int) -> None:
    answers = [ODD_ANSWERS[kind]] * times
    for engine in harness.decode_engines:
        engine.odd_answers = answers


@pytest.mark.parametrize("kind", ODD_ANSWERS)
def test_stream_goes_on_at_a_third_engine(kind: str) -> None:
    """Guards against parts of an odd answer in the middle of a stream."""

    async def scenario(harness: RelayHarness) -> None:
        await allow_runs(harness, 3)
        harness.break_next_stream(after=BROKEN_AFTER)
        set_odd_answers(harness, kind, 1)
        answer = await send_story(harness)
        assert answer.complete, answer
        assert answer.body == EVENTS
        (first,) = [
            engine
            for engine in harness.decode_engines
            for received in engine.received
            if "last-event-id" not in received[2]
        ]
        assert answer.headers[b"x-response-seal"] == f"seal-{first.id}".encode()

    run_scenario(scenario, decode_engines=3)


@pytest.mark.parametrize("kind", ODD_ANSWERS)
def test_stream_without_another_engine_ends_broken(kind: str) -> None:
    """Guards against an odd answer that ends a stream as if complete.

    Without chunks a caller reads all that follows as a part of the stream.
    """

    async def scenario(harness: RelayHarness) -> None:
        harness.break_next_stream(after=BROKEN_AFTER)
        set_odd_answers(harness, kind, 5)
        answer = await send_story(harness, "1.0")
        assert not answer.complete, answer
        events = BROKEN_AFTER + CONTINUES_FIRST.get(kind, 0)
        assert EVENTS.startswith(answer.body) and answer.body.count(b"id:") <= events
        assert len(answer.body) >= len(RECEIVED)

    run_scenario(scenario)


@pytest.mark.parametrize("kind", ["skips", "repeats", "from_the_start", "empty"])
def test_stream_that_broke_after_one_event_is_not_joined(kind: str) -> None:
    """An event was missing: one event does not tell the step of the ids."""

    async def scenario(harness: RelayHarness) -> None:
        await allow_runs(harness, 3)
        harness.break_next_stream(after=1)
        set_odd_answers(harness, kind, 1)
        answer = await send_story(harness)
        assert answer.complete, answer
        assert answer.body == EVENTS

    run_scenario(scenario, decode_engines=3)


@pytest.mark.parametrize("kind", ["status_500", "status_404", "other_type", "empty"])
def test_stream_that_broke_after_a_comment_gets_no_other_answer(kind: str) -> None:
    """The head was sent with the comment: nothing else fits behind it."""

    async def scenario(harness: RelayHarness) -> None:
        for engine in harness.decode_engines:
            engine.comments = True
        harness.break_next_stream(after=0)
        answers = [ODD_ANSWERS[kind]]
        for engine in harness.decode_engines:
            engine.odd_first_answers = answers
        answer = await send_story(harness, "1.0")
        assert not answer.complete, answer
        assert answer.body == b": odd\n\n"

    run_scenario(scenario)


def test_stream_that_broke_after_a_comment_goes_on() -> None:
    async def scenario(harness: RelayHarness) -> None:
        for engine in harness.decode_engines:
            engine.comments = True
        harness.break_next_stream(after=0)
        answer = await send_story(harness)
        assert answer.complete
        assert answer.body.replace(b": odd\n\n", b"") == EVENTS

    run_scenario(scenario)


def test_refused_answers_are_counted_and_logged(
    caplog: pytest.LogCaptureFixture,
) -> None:
    async def scenario(harness: RelayHarness) -> None:
        harness.break_next_stream(after=BROKEN_AFTER)
        set_odd_answers(harness, "status_404", 1)
        await send_story(harness)
        text = harness.host._parts.metrics.text().decode()
        name = "kumquat_relay_refused_continuations_total"
        assert f'{name}{{reason="status"}} 1.0' in text
        (line,) = [
            KeyValueFormatter().format(record)
            for record in caplog.records
            if record.msg == "continuation_refused"
        ]
        assert "reason=status_404 status=404 last_event=2" in line

    with caplog.at_level("INFO"):
        run_scenario(scenario)
