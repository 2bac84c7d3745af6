"""Guards against wrong grants and refusals by the admission queue."""

from dataclasses import replace

import pytest

from kumquat_core.peer_messages import HeldRun
from kumquat_relay.engine_health import Failure
from kumquat_relay.engine_registry import EngineRole
from kumquat_relay.queue_types import Granted, Refused
from kumquat_relay.store_version import StoreVersion

from .builders import SPEC, QueueHarness, engine, granted, refused, run_request


def test_grants_a_free_slot_with_a_prefill_engine() -> None:
    harness = QueueHarness()
    (decision,) = harness.add(run_request("a"))
    assert isinstance(decision, Granted)
    assert decision.decode.id == "d0"
    assert decision.prefill is not None
    assert decision.prefill.id == "p0"


def test_waits_for_the_prefill_engine_without_holding_a_slot() -> None:
    harness = QueueHarness()
    harness.add(run_request("a", prompt=11_000))
    assert harness.add(run_request("b")) == []
    assert granted(harness.finish_prefill("a")) == ["b"]


def test_refuses_on_arrival_what_cannot_be_on_time() -> None:
    harness = QueueHarness()
    harness.fill(12)
    assert refused(harness.add(run_request("late"))) == {"late": "objective_missed"}


def test_queues_requests_while_slots_are_free_and_prefill_is_fast() -> None:
    """The ends of runs determined the estimated wait while slots were free."""
    harness = QueueHarness(decode_engines=2)
    harness.fill(12)
    harness.add(run_request("a", prompt=9000))
    assert harness.add(run_request("b")) == []
    assert granted(harness.finish_prefill("a")) == ["b"]


def test_refuses_a_queued_request_when_its_time_runs_out() -> None:
    harness = QueueHarness()
    harness.fill(10)
    harness.add(run_request("a", prompt=11_000))
    harness.add(run_request("b"))
    harness.clock.advance(0.8)
    decisions = harness.queue.advance(harness.now_s)
    assert refused(decisions) == {"b": "waited_too_long"}


def test_late_requests_leave_slots_free_for_requests_on_time() -> None:
    harness = QueueHarness()
    harness.fill(11)
    assert harness.add(run_request("late", objective_ms=-100)) == []
    assert granted(harness.add(run_request("on_time"))) == ["on_time"]


def test_late_requests_are_refused_while_requests_on_time_are() -> None:
    harness = QueueHarness()
    harness.fill(12)
    harness.add(run_request("a"))
    late = run_request("late", objective_ms=-100)
    assert refused(harness.add(late)) == {"late": "saturated"}


def test_refusal_of_a_long_prompt_does_not_block_late_requests() -> None:
    """With one engine left, a third full, all retries were refused because
    long prompts could not be prefilled there."""
    harness = QueueHarness(prefill_engines=0)
    harness.add(run_request("a", prompt=3000))
    harness.clock.advance(0.15)
    harness.finish_prefill("a")
    harness.clock.advance(0.5)
    decisions = harness.add(run_request("long", prompt=11_000))
    assert refused(decisions) == {"long": "no_reader_for_long_prompt"}
    late = run_request("late", prompt=3000, objective_ms=-100)
    assert granted(harness.add(late)) == ["late"]


def test_more_urgent_requests_are_granted_first() -> None:
    harness = QueueHarness()
    harness.fill(11)
    harness.add(run_request("a", prompt=11_000, objective_ms=5000))
    harness.add(run_request("later", priority=2, objective_ms=5000))
    harness.add(run_request("urgent", priority=0, objective_ms=5000))
    harness.finish_prefill("a")
    assert granted(harness.end("full0")) == ["urgent"]


def test_memory_limits_the_runs_before_the_slots_do() -> None:
    harness = QueueHarness(spec=replace(SPEC, memory_tokens=30_000))
    for request_id in ("a", "b"):
        assert granted(harness.add(run_request(request_id))) == [request_id]
        harness.finish_prefill(request_id)
    assert granted(harness.add(run_request("c"))) == []


def test_full_engine_gets_no_grants_until_its_backoff_ends() -> None:
    harness = QueueHarness()
    harness.queue.ledger.record_engine_full("d0", harness.now_s)
    assert harness.add(run_request("a")) == []
    harness.clock.advance(0.2)
    assert granted(harness.queue.advance(harness.now_s)) == ["a"]


def test_engines_with_stalled_runs_are_selected_last() -> None:
    harness = QueueHarness(decode_engines=2)
    harness.queue.ledger.record_stall("d0", harness.now_s)
    (decision,) = harness.add(run_request("a"))
    assert isinstance(decision, Granted)
    assert decision.decode.id == "d1"


def test_grants_nothing_at_an_engine_that_changes_its_role() -> None:
    harness = QueueHarness()
    harness.queue.ledger.begin_role_change("d0", 6.0, harness.now_s)
    (decision,) = harness.add(run_request("a", left_ms=30_000))
    assert isinstance(decision, Refused)
    assert decision.reason == "no_engine"
    assert decision.retry_after_s == pytest.approx(6.0)


def test_registry_entry_with_the_new_role_ends_the_role_change() -> None:
    harness = QueueHarness()
    harness.queue.ledger.begin_role_change("p0", 6.0, harness.now_s)
    harness.registry.put(engine("p0", EngineRole.DECODE), StoreVersion(1, 200))
    harness.queue.ledger.refresh(SPEC)
    assert harness.queue.ledger.free_slots() == 24


def test_local_prefills_of_an_engine_do_not_overlap() -> None:
    """Two concurrent local prefills paused all runs of an engine for 1 s."""
    harness = QueueHarness(prefill_engines=0)
    assert granted(harness.add(run_request("a", prompt=3000))) == ["a"]
    assert harness.add(run_request("b", prompt=3000)) == []
    harness.clock.advance(0.15)
    assert granted(harness.finish_prefill("a")) == []
    harness.clock.advance(0.2)
    assert granted(harness.queue.advance(harness.now_s)) == ["b"]


def test_running_streams_are_not_paused_for_a_long_prompt() -> None:
    harness = QueueHarness(prefill_engines=0)
    harness.add(run_request("a", prompt=3000))
    decisions = harness.add(run_request("long", prompt=11_000))
    assert refused(decisions) == {"long": "no_reader_for_long_prompt"}


@pytest.mark.parametrize(("tokens_per_ms", "granted_ids"), [(25.3, ["b"]), (19.7, [])])
def test_longest_local_prefill_depends_on_the_prefill_speed(
    tokens_per_ms: float, granted_ids: list[str]
) -> None:
    """All prompts over 4,300 tokens were refused at the only engine, whatever
    its speed."""
    harness = QueueHarness(prefill_engines=0)
    for index in range(8):
        harness.add(run_request(f"r{index}", prompt=3000))
        prefill_ms = 3000 / tokens_per_ms
        # Includes the delay of the messages between the hosts.
        harness.clock.advance(prefill_ms / 1000 + 0.03)
        harness.queue.ledger.record_prefill(f"r{index}", prefill_ms, harness.now_s)
        harness.clock.advance(0.3)
    assert granted(harness.add(run_request("b", prompt=5000))) == granted_ids


def test_avoided_engines_get_nothing_while_others_can_serve() -> None:
    harness = QueueHarness(decode_engines=2)
    harness.health.record_failure("d0", Failure.UNREACHABLE)
    for request_id in ("a", "b"):
        (decision,) = harness.add(run_request(request_id))
        assert isinstance(decision, Granted)
        assert decision.decode.id == "d1"
        harness.finish_prefill(request_id)


def held_run(request_id: str) -> HeldRun:
    return HeldRun(request_id, "d0", 5000, 6000, 500)


def test_new_owner_tracks_the_runs_that_hosts_report() -> None:
    harness = QueueHarness(slots=2)
    assert (
        harness.queue.ledger.reconcile(
            "h", [held_run("a"), held_run("b")], harness.now_s
        )
        == 2
    )
    assert harness.queue.ledger.free_slots() == 0


def test_lost_release_is_corrected_by_the_next_report() -> None:
    harness = QueueHarness()
    harness.add(run_request("a"))
    harness.clock.advance(2.0)
    harness.queue.ledger.reconcile("h", [], harness.now_s)
    assert harness.queue.ledger.free_slots() == 12


def test_recent_grant_is_kept_despite_an_older_report() -> None:
    harness = QueueHarness()
    harness.add(run_request("a"))
    harness.clock.advance(0.1)
    harness.queue.ledger.reconcile("h", [], harness.now_s)
    assert harness.queue.ledger.free_slots() == 11


def test_runs_of_a_dead_host_are_removed() -> None:
    harness = QueueHarness()
    harness.add(run_request("a"))
    harness.clock.advance(2.0)
    assert harness.queue.ledger.remove_unconfirmed(harness.now_s) == 1


def test_new_owner_grants_nothing_before_the_hosts_have_reported() -> None:
    harness = QueueHarness()
    harness.queue.pause(harness.now_s + 0.6)
    assert harness.add(run_request("a")) == []
    assert harness.queue.next_due_s(harness.now_s) == pytest.approx(harness.now_s + 0.6)
    harness.clock.advance(0.6)
    assert granted(harness.queue.advance(harness.now_s)) == ["a"]


def test_restarted_engine_has_no_runs() -> None:
    harness = QueueHarness()
    harness.fill(3)
    harness.registry.put(replace(engine("d0"), born_ms=5), StoreVersion(1, 300))
    harness.queue.ledger.refresh(SPEC)
    assert harness.queue.ledger.free_slots() == 12


def test_refuses_on_arrival_while_memory_is_full_and_slots_are_free() -> None:
    """Requests were queued until their objective had passed, since free slots
    without free memory counted as available."""
    harness = QueueHarness(spec=replace(SPEC, memory_tokens=30_000))
    for request_id in ("a", "b"):
        harness.add(run_request(request_id))
        harness.finish_prefill(request_id)
    harness.add(run_request("c"))
    assert refused(harness.add(run_request("d"))) == {}
    harness.clock.advance(0.3)
    assert refused(harness.add(run_request("e"))) == {"e": "objective_missed"}


def test_role_change_ends_only_after_the_runs_of_the_engine() -> None:
    """Slots were granted at engines that were waiting for their runs to end
    before the role change; this caused 62 of 64 rejected sends in a day."""
    harness = QueueHarness(decode_engines=2)
    harness.add(run_request("a"))
    harness.finish_prefill("a")
    ledger = harness.queue.ledger
    until_s = ledger.begin_role_change("d0", 8.0, harness.now_s)
    assert until_s > harness.now_s + 10.0
    harness.clock.advance(until_s - harness.now_s)
    ledger.reconcile("h", [held_run("a")], harness.now_s)
    assert ledger.end_overdue_role_changes(harness.now_s) == []
    harness.end("a")
    harness.clock.advance(2.0)
    assert ledger.end_overdue_role_changes(harness.now_s) == ["d0"]


def test_memory_forecast_uses_the_reported_generated_tokens() -> None:
    """The progress of runs was estimated from their age only."""
    harness = QueueHarness(spec=replace(SPEC, memory_tokens=24_000))
    harness.add(run_request("a", prompt=5000, output=5500))
    harness.finish_prefill("a")
    run = HeldRun("a", "d0", 5000, 5500, 500, generated_tokens=5500, gap_ms=50.0)
    late = run_request("late", prompt=9000, output=5500, objective_ms=9000)
    harness.add(late)
    assert harness.queue.waiting_count == 1
    harness.queue.ledger.reconcile("h", [run], harness.now_s)
    harness.clock.advance(0.3)
    assert granted(harness.queue.advance(harness.now_s)) == ["late"]


def test_new_owner_learns_the_token_time_from_the_first_report() -> None:
    """A new owner used the initial estimates until the first runs ended."""
    harness = QueueHarness()
    gap_ms = 4.0 * SPEC.tokens_per_event
    run = HeldRun("a", "d0", 5000, 5500, 500, generated_tokens=890, gap_ms=gap_ms)
    harness.queue.ledger.reconcile("h", [run], harness.now_s)
    (load,) = harness.queue.ledger.decode_loads()
    assert load.token_ms == pytest.approx(4.0)


def test_new_engine_is_expected_to_be_as_fast_as_the_others() -> None:
    harness = QueueHarness()
    harness.add(run_request("a"))
    harness.finish_prefill("a")
    harness.queue.ended("a", 4.0 * SPEC.tokens_per_event, harness.now_s)
    harness.registry.put(engine("d9"), StoreVersion(1, 300))
    harness.queue.ledger.refresh(SPEC)
    paces = {
        load.entry.id: load.token_ms for load in harness.queue.ledger.decode_loads()
    }
    assert paces["d9"] == pytest.approx(paces["d0"])


def harness_with_prefill_backlog() -> QueueHarness:
    """Return a harness whose prefill engine is busy for longer than requests
    can wait."""
    harness = QueueHarness()
    for index in range(4):
        harness.add(run_request(f"r{index}", prompt=11_000, objective_ms=5000))
    harness.queue.ledger.prefill_loads()[0].jobs_by_id["r0"].tokens = 60_000
    return harness


def test_decode_engine_prefills_when_prefill_engines_are_too_late() -> None:
    """Requests were refused because of a slow prefill engine while decode
    engines had free slots and could prefill."""
    harness = harness_with_prefill_backlog()
    (decision,) = harness.add(run_request("short", prompt=3000, objective_ms=600))
    assert isinstance(decision, Granted)
    assert decision.prefill is None


@pytest.mark.parametrize(
    ("prompt", "objective_ms"),
    [(6000, 400), (11_000, 900)],
    ids=["would be late", "would pause streams"],
)
def test_no_local_prefill_that_would_be_late_or_pause_streams(
    prompt: int, objective_ms: int
) -> None:
    harness = harness_with_prefill_backlog()
    request = run_request("a", prompt=prompt, objective_ms=objective_ms)
    assert refused(harness.add(request)) == {"a": "objective_missed"}


def test_no_local_prefill_when_slots_are_scarce() -> None:
    """Local prefills slowed down all runs of the engine in a load peak."""
    harness = harness_with_prefill_backlog()
    ledger = harness.queue.ledger
    held_runs = [held_run(f"h{index}") for index in range(9)]
    ledger.reconcile("h", [*held_runs, held_run("r0")], harness.now_s)
    request = run_request("a", prompt=3000, objective_ms=600)
    assert refused(harness.add(request)) == {"a": "objective_missed"}
