"""Guards against decisions based on initial values or single outliers."""

import math
import random
from dataclasses import replace

import pytest

from kumquat_core.peer_messages import HeldRun
from kumquat_relay.local_prefill_pauses import LocalPrefillPauses, initial_pause_s
from kumquat_relay.output_length import OutputLengthEstimator
from kumquat_relay.retry_schedule import INITIAL_PEAK_S, RetrySchedule
from kumquat_relay.running_mean import MAX_RATIO, RunningMean

from .builders import SPEC, QueueHarness, granted, run_request


def test_first_observation_replaces_initial_value() -> None:
    mean = RunningMean(0.6, 0.1)
    mean.observe(30.0)
    assert mean.value == 30.0


def test_outlier_hardly_moves_running_mean() -> None:
    mean = RunningMean(1.0, 0.1)
    for _ in range(20):
        mean.observe(2.0)
    mean.observe(1000.0)
    assert mean.value <= 2.0 * (1 + 0.1 * MAX_RATIO)


def sample_outputs(
    slope: float, error: float, median_tokens: float, seed: int = 3
) -> list[tuple[int, int]]:
    """Return pairs of declared and generated tokens.

    Their logarithms are scattered around a line through ``median_tokens``.
    """
    rng = random.Random(seed)
    pairs = []
    for _ in range(300):
        offset = rng.gauss(0.0, 0.6)
        declared = median_tokens * math.exp(offset)
        generated = median_tokens * math.exp(slope * offset + rng.gauss(0.0, error))
        pairs.append((round(declared), round(generated)))
    return pairs


@pytest.mark.parametrize("median_tokens", [60.0, 980.0, 40_000.0])
@pytest.mark.parametrize("slope", [0.0, 0.5, 1.0])
def test_predictions_follow_observed_outputs(
    median_tokens: float, slope: float
) -> None:
    """Output lengths must not be assumed to be 5,500 tokens everywhere."""
    estimator = OutputLengthEstimator()
    for declared, generated in sample_outputs(slope, 0.2, median_tokens):
        estimator.observe_declared(declared)
        estimator.observe_output(declared, generated)
    for offset in (-0.6, 0.0, 0.6):
        expected = median_tokens * math.exp(slope * offset)
        planned = estimator.predict_tokens(round(median_tokens * math.exp(offset)))
        assert planned == pytest.approx(expected, rel=0.25)


def test_declared_lengths_are_used_before_any_output() -> None:
    estimator = OutputLengthEstimator()
    for declared in (900, 1000, 1100):
        estimator.observe_declared(declared)
    assert 900 < estimator.predict_tokens(1000) < 1100


@pytest.mark.parametrize("error", [0.1, 0.8])
def test_prediction_error_is_learned(error: float) -> None:
    estimator = OutputLengthEstimator()
    for declared, generated in sample_outputs(0.5, error, 1000.0):
        estimator.observe_output(declared, generated)
    assert estimator.error == pytest.approx(error, rel=0.4)


def retry_times_during_peak(
    schedule: RetrySchedule, from_s: float, duration_s: float
) -> list[float]:
    """Return the retry delays given during a load peak, in seconds."""
    steps = int(duration_s / 0.1)
    return [
        schedule.next_retry_s(0.1, 1000, 3.5, 60.0, from_s + step * 0.1)
        for step in range(steps + 1)
    ]


def test_retry_times_follow_observed_peak_durations() -> None:
    """Callers must not be sent away for four seconds after short peaks."""
    schedule = RetrySchedule()
    assert retry_times_during_peak(schedule, 0.0, 1.5)[0] == pytest.approx(
        INITIAL_PEAK_S
    )
    retry_times = retry_times_during_peak(schedule, 20.0, 1.5)
    assert retry_times[0] == pytest.approx(2.5)
    assert retry_times_during_peak(schedule, 40.0, 9.0)[0] == pytest.approx(2.5)
    # The third peak lasted 10 s and has a third of the weight.
    assert retry_times_during_peak(schedule, 70.0, 1.0)[0] == pytest.approx(
        2.5 + (10.0 - 2.5) / 3
    )


def test_single_refusals_do_not_count_as_load_peak() -> None:
    schedule = RetrySchedule()
    for index in range(10):
        schedule.next_retry_s(0.1, 1000, 3.5, 60.0, 10.0 * index)
    assert schedule.next_retry_s(0.1, 1000, 3.5, 60.0, 200.0) == INITIAL_PEAK_S


def test_pauses_independent_of_prompt_length_are_learned() -> None:
    """Long prompts that pause streams only briefly must not be refused.

    Otherwise 69 requests are refused while there is no prefill engine.
    """
    pauses = LocalPrefillPauses()
    assert pauses.expected_s(0.4) == 0.4
    for prefill_s in (0.1, 0.15, 0.2, 0.21):
        pauses.observe(prefill_s, 0.11)
    assert pauses.expected_s(0.4) == pytest.approx(0.11 * 1.25)
    pauses.observe(0.4, 0.35)
    assert pauses.expected_s(0.5) == 0.5


def test_new_owner_allows_long_local_prefill_with_short_events() -> None:
    """Before any report the length of events limits the expected pause.

    Otherwise 23 prompts are refused as too long in two seconds without a
    prefill engine, although no stream pauses during a local prefill.
    """
    pauses = LocalPrefillPauses()
    short, long = initial_pause_s(14, 22.5), initial_pause_s(89, 22.5)
    assert pauses.expected_s(0.4, short) == pytest.approx(0.159, abs=0.001)
    assert pauses.expected_s(0.4, long) == 0.4
    world = QueueHarness(prefill_engines=0, spec=replace(SPEC, tokens_per_event=14))
    world.add(run_request("running", prompt=3000))
    world.clock.advance(0.2)
    world.finish_prefill("running")
    world.clock.advance(0.2)
    assert granted(world.add(run_request("long", prompt=11_000))) == ["long"]


def test_pauses_proportional_to_prompt_length_are_expected_in_full() -> None:
    pauses = LocalPrefillPauses()
    for prefill_s in (0.05, 0.1, 0.15, 0.2):
        pauses.observe(prefill_s, 0.9 * prefill_s)
    assert pauses.expected_s(0.4) == 0.4


def test_owner_learns_pauses_from_reports() -> None:
    world = QueueHarness(prefill_engines=0, spec=replace(SPEC, tokens_per_event=14))
    world.add(run_request("first", prompt=3000))
    world.finish_prefill("first")
    for number in range(6):
        world.clock.advance(1.0)
        request_id = f"r{number}"
        assert granted(world.add(run_request(request_id, prompt=4000)))
        world.clock.advance(0.2)
        world.queue.ledger.record_prefill(request_id, 200.0, world.now_s)
        held = [
            HeldRun(run_id, "d0", 4000, 5500, 500, 100 * number + 100, 49.0, 120.0)
            for run_id in ("first", *(f"r{n}" for n in range(number + 1)))
        ]
        world.queue.ledger.reconcile("h", held, world.now_s)
        world.clock.advance(0.7)
        world.queue.ledger.reconcile("h", held, world.now_s)
    (load,) = world.queue.ledger.decode_loads()
    assert load.local_prefill_s(11_000) > 0.5
    assert load.expected_pause_s(11_000) < 0.25


@pytest.mark.parametrize("prefill_engines", [0, 1])
def test_an_empty_prompt_does_not_break_the_owner(prefill_engines: int) -> None:
    """A speed of 0 tokens per ms made every later decision raise an error.

    A caller states the length of its prompt, so it can be 0.
    """
    harness = QueueHarness(prefill_engines=prefill_engines)
    assert granted(harness.add(run_request("empty", prompt=0))) == ["empty"]
    harness.finish_prefill("empty")
    harness.end("empty")
    harness.clock.advance(5.0)
    assert granted(harness.add(run_request("next"))) == ["next"]
