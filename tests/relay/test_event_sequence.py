"""Tests of the decision whether events continue a stream."""

import pytest

from kumquat_relay.event_sequence import EventSequence
from kumquat_relay.event_steps import KEPT_STEPS, EventSteps, ServiceSteps
from kumquat_relay.event_stream import EventSplitter


def sequence(
    *ids: int | None, resumed_at: int | None = None, steps: ServiceSteps | None = None
) -> EventSequence:
    """Return the sequence after a first run with these ids."""
    events = EventSequence(steps or ServiceSteps())
    events.last_id = resumed_at
    events.begin_run()
    for event_id in ids:
        assert events.misplacement(event_id) == ""
        events.record(event_id)
    events.begin_run()
    return events


def learned(*largest_steps: int) -> ServiceSteps:
    """Return the steps of a service that streams have shown."""
    steps = ServiceSteps()
    for step in largest_steps:
        steps.record(step)
    return steps


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
        (sequence(7), 7, "repeated"),
        # After a single event, other streams tell the step.
        (sequence(1, steps=learned(1)), 2, ""),
        (sequence(1, steps=learned(1)), 3, "skipped"),
        (sequence(1, steps=learned(89)), 90, ""),
        (sequence(89, steps=learned(89, 30)), 178, ""),
        (sequence(89, steps=learned(89, 30)), 179, "skipped"),
        # Else it is at most that of the first event, and that of a full one.
        (sequence(1, steps=ServiceSteps(89)), 2, ""),
        (sequence(1, steps=ServiceSteps(89)), 3, "skipped"),
        (sequence(89, steps=ServiceSteps(89)), 178, ""),
        (sequence(89, steps=ServiceSteps(89)), 179, "skipped"),
        (sequence(0, steps=ServiceSteps(89)), 89, ""),
        (sequence(0, steps=ServiceSteps(89)), 90, "skipped"),
        (sequence(7, resumed_at=5, steps=ServiceSteps(89)), 9, ""),
        (sequence(7, resumed_at=5, steps=ServiceSteps(89)), 10, "skipped"),
        (sequence(1000), 1002, "skipped"),
        # Nothing was received, so the run is the first one.
        (sequence(), 5, ""),
        (sequence(resumed_at=5), 1, ""),
    ],
)
def test_first_event_of_a_resumed_run(
    before: EventSequence, event_id: int | None, reason: str
) -> None:
    assert before.misplacement(event_id) == reason


def test_streams_of_a_service_learn_its_step_from_each_other() -> None:
    """After one event a skip was not seen, since the step was unknown."""
    all_steps = EventSteps()
    sequence(10, 20, 25, steps=all_steps.of_service("llm", 89))
    later = sequence(1, steps=all_steps.of_service("llm", 89))
    assert later.misplacement(11) == ""
    assert later.misplacement(12) == "skipped"
    other = sequence(1, steps=all_steps.of_service("other", 89))
    assert other.misplacement(3) == "skipped"


def test_odd_step_is_forgotten() -> None:
    """One engine with odd ids would hide skips of the service for good."""
    steps = learned(10**6, *[1] * KEPT_STEPS)
    assert sequence(1, steps=steps).misplacement(3) == "skipped"


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
