"""Tests of the decision whether events continue a stream."""

import pytest

from kumquat_relay.event_sequence import EventSequence
from kumquat_relay.event_stream import EventSplitter


def sequence(*ids: int | None, resumed_at: int | None = None) -> EventSequence:
    """Return the sequence after a first run with these ids."""
    events = EventSequence()
    events.last_id = resumed_at
    events.begin_run()
    for event_id in ids:
        assert events.misplacement(event_id) == ""
        events.record(event_id)
    events.begin_run()
    return events


@pytest.mark.parametrize(
    ("before", "event_id", "reason"),
    [
        (sequence(1, 2), 3, ""),
        (sequence(1, 2), 2, "repeated"),
        (sequence(1, 2), 1, "went_back"),
        (sequence(1, 2), 4, "skipped"),
        (sequence(1, 2), None, "no_id"),
        # Engines may count tokens; the last event may have fewer of them.
        (sequence(89, 178, 267), 356, ""),
        (sequence(89, 178, 267), 300, ""),
        (sequence(89, 178, 267), 357, "skipped"),
        # The step is not known yet.
        (sequence(7), 9, ""),
        (sequence(7), 7, "repeated"),
        # Nothing was received, so the run is the first one.
        (sequence(), 5, ""),
        (sequence(resumed_at=5), 1, ""),
    ],
)
def test_first_event_of_a_resumed_run(
    before: EventSequence, event_id: int | None, reason: str
) -> None:
    assert before.misplacement(event_id) == reason


def test_stream_cannot_continue_after_an_event_without_an_id() -> None:
    """The caller has more than its last id tells."""
    assert sequence(1, 2).can_continue
    assert not sequence(1, None).can_continue


def test_id_of_thousands_of_digits_is_no_number() -> None:
    """Its conversion raises an error, which ended the stream."""
    splitter = EventSplitter()
    event = b"id: " + b"9" * 5000 + b"\ndata: a\n\n"
    assert splitter.feed(event) == event
    assert not splitter.can_continue
