"""Tests of the verdicts on prompt parts under which engines crash.

A part that is missed crashes one engine after the other; a harmless part that
is refused takes the service from its callers.
"""

import random
from dataclasses import replace

import pytest

from kumquat_core.crash_messages import CrashRecord
from kumquat_core.peer_messages import RunRequest
from kumquat_relay.crash_evidence import (
    FORGET_CLEARED_S,
    MAX_CRASHES,
    MAX_HARMLESS_PARTS,
    MAX_PARTS,
    QUARANTINE_S,
    CrashEvidenceSet,
    CrashHistory,
    HarmlessParts,
    Verdict,
)
from kumquat_relay.crash_reports import CrashReports
from kumquat_relay.suspect_trials import PATIENCE_S

from .builders import QueueHarness, granted, refused, run_request
from .quarantine_fleet import QuarantineFleet

FIRST, DEADLY, OWN = "f1", "dead", "5e55"


def test_crashes_at_different_hosts_are_counted_together() -> None:
    """With 380 hosts, none of them sees two crashes."""
    fleet = QuarantineFleet(380)
    fleet.crash(DEADLY, engine="e1")
    assert fleet.verdict("h7", DEADLY) is Verdict.TRIAL
    fleet.clock.advance(3.0)
    fleet.crash(DEADLY, engine="e2")
    for host_id in fleet.hosts:
        assert fleet.verdict(host_id, FIRST, DEADLY) is Verdict.REFUSED
        assert fleet.verdict(host_id, FIRST) is Verdict.NORMAL


def test_nothing_is_sent_while_no_engine_crashes() -> None:
    fleet = QuarantineFleet(380)
    for host_id in fleet.hosts:
        fleet.answered(host_id, FIRST)
        fleet.verdict(host_id, FIRST, DEADLY)
    assert fleet.messages == 0


def test_each_host_asks_once_after_a_change() -> None:
    fleet = QuarantineFleet(380)
    fleet.crash(DEADLY, engine="e1")
    for _ in range(5):
        for host_id in fleet.hosts:
            fleet.verdict(host_id, DEADLY)
    assert fleet.messages == 379


def test_hosts_with_requests_hear_of_a_crash_at_once() -> None:
    """Their requests may already have a grant."""
    fleet = QuarantineFleet(8)
    fleet.active = {"h1", "h2"}
    fleet.crash(DEADLY, engine="e1")
    fleet.cut = {"h0"}
    assert fleet.verdict("h1", DEADLY) is Verdict.TRIAL
    assert fleet.verdict("h3", DEADLY) is Verdict.NORMAL


def test_next_owner_learns_the_verdicts_of_the_lost_one() -> None:
    fleet = QuarantineFleet(4)
    fleet.crash(DEADLY, engine="e1")
    fleet.clock.advance(3.0)
    fleet.crash(DEADLY, engine="e2")
    assert fleet.verdict("h2", DEADLY) is Verdict.REFUSED
    fleet.restart("h0")
    fleet.change_owner("h1")
    # The report of any host that knew brings it to the new owner.
    fleet.verdict("h2", FIRST)
    assert fleet.verdict("h1", DEADLY) is Verdict.REFUSED
    fleet.change_owner("h0")
    fleet.verdict("h3", FIRST)
    fleet.verdict("h1", FIRST)
    assert fleet.verdict("h0", DEADLY) is Verdict.REFUSED


def test_crashes_counted_by_two_owners_add_up() -> None:
    fleet = QuarantineFleet(4)
    fleet.crash(DEADLY, engine="e1", owner="h0")
    fleet.owners["h1"].host_id = "h1"
    fleet.clock.advance(3.0)
    fleet.crash(DEADLY, engine="e2", owner="h1")
    assert fleet.verdict("h1", DEADLY) is Verdict.TRIAL
    fleet.change_owner("h0")
    assert fleet.verdict("h1", DEADLY) is Verdict.REFUSED
    assert fleet.verdict("h3", DEADLY) is Verdict.REFUSED


def test_host_that_was_cut_off_learns_the_verdict_with_its_next_reply() -> None:
    fleet = QuarantineFleet(4)
    fleet.cut = {"h3"}
    fleet.crash(DEADLY, engine="e1")
    fleet.clock.advance(3.0)
    fleet.crash(DEADLY, engine="e2")
    assert fleet.verdict("h3", DEADLY) is Verdict.NORMAL
    fleet.cut = set()
    assert fleet.verdict("h3", DEADLY) is Verdict.REFUSED


def test_part_that_another_host_saw_answered_is_cleared() -> None:
    """Engines that crash for other reasons must not condemn a popular part."""
    fleet = QuarantineFleet(4)
    fleet.answered("h2", FIRST)
    fleet.crash(FIRST, engine="e1")
    assert fleet.verdict("h2", FIRST) is Verdict.NORMAL
    fleet.clock.advance(3.0)
    fleet.crash(FIRST, engine="e2")
    fleet.crash(FIRST, engine="e3")
    for host_id in fleet.hosts:
        assert fleet.verdict(host_id, FIRST) is Verdict.NORMAL


def test_shared_first_part_is_not_refused_with_the_deadly_one() -> None:
    """Both were in all requests under which engines crashed."""
    fleet = QuarantineFleet(2)
    fleet.crash(FIRST, DEADLY, engine="e1")
    fleet.clock.advance(3.0)
    fleet.crash(FIRST, DEADLY, engine="e2", trial=True)
    assert fleet.verdict("h1", FIRST, DEADLY) is Verdict.REFUSED
    assert fleet.verdict("h1", FIRST, OWN) is Verdict.TRIAL
    assert fleet.verdict("h1", "other", DEADLY) is Verdict.TRIAL
    fleet.answered("h1", FIRST, OWN)
    assert fleet.verdict("h1", FIRST, OWN) is Verdict.NORMAL
    assert fleet.verdict("h1", "other", DEADLY) is Verdict.REFUSED


def test_second_deadly_part_is_found_beside_the_first() -> None:
    fleet = QuarantineFleet(2)
    for number, part in enumerate([DEADLY, "bad", DEADLY, "bad"]):
        fleet.crash(part, engine=f"e{number}")
        fleet.clock.advance(3.0)
    assert fleet.verdict("h1", FIRST, DEADLY) is Verdict.REFUSED
    assert fleet.verdict("h1", FIRST, "bad") is Verdict.REFUSED


def test_engines_that_crash_together_count_once() -> None:
    """The loss of a failure domain is not the fault of a request."""
    fleet = QuarantineFleet(2)
    fleet.crash(OWN, engine="e1")
    fleet.clock.advance(0.1)
    fleet.crash(OWN, engine="e2")
    fleet.crash(OWN, engine="e3")
    assert fleet.verdict("h1", OWN) is Verdict.TRIAL


def test_crash_in_a_trial_counts_beside_one_at_the_same_moment() -> None:
    fleet = QuarantineFleet(2)
    fleet.crash(DEADLY, engine="e1")
    fleet.clock.advance(0.1)
    fleet.crash(DEADLY, engine="e2", trial=True)
    assert fleet.verdict("h1", DEADLY) is Verdict.REFUSED


def test_one_engine_that_flaps_needs_three_crashes() -> None:
    fleet = QuarantineFleet(2)
    for number in range(3):
        assert fleet.verdict("h1", OWN) is not Verdict.REFUSED
        fleet.crash(OWN, engine=f"e{number}", address="10.0.0.1:80")
        fleet.clock.advance(3.0)
    assert fleet.verdict("h1", OWN) is Verdict.REFUSED


def test_quarantine_ends_for_one_trial_until_the_fifth_crash() -> None:
    """More than three requests after the fifth crash break the promise."""
    evidence, now_s, crashes = CrashEvidenceSet(), 0.0, 0
    for _ in range(200):
        verdict = evidence.verdict([DEADLY], now_s)
        if verdict is not Verdict.REFUSED:
            crashes += 1
            evidence.record_crash(
                DEADLY, f"e{crashes}", f"a{crashes}", now_s, trial=True
            )
        now_s += 1.0 if verdict is not Verdict.REFUSED else QUARANTINE_S / 2
    assert crashes == MAX_CRASHES


def test_cleared_part_after_a_quarantine_serves_again() -> None:
    evidence = CrashEvidenceSet()
    evidence.record_crash(DEADLY, "e1", "a1", 0.0, trial=False)
    evidence.record_crash(DEADLY, "e2", "a2", 3.0, trial=True)
    assert evidence.verdict([DEADLY], 3.0) is Verdict.REFUSED
    now_s = 4.0 + QUARANTINE_S
    assert evidence.verdict([DEADLY], now_s) is Verdict.TRIAL
    assert evidence.clear(DEADLY, now_s)
    assert evidence.verdict([DEADLY], now_s) is Verdict.NORMAL
    assert evidence.records(now_s + FORGET_CLEARED_S + 1) == ()


def test_memory_is_bounded_when_no_two_requests_share_a_part() -> None:
    """The evidence on a deadly part stays meanwhile."""
    evidence, harmless = CrashEvidenceSet(), HarmlessParts()
    evidence.record_crash(DEADLY, "e0", "a0", 0.0, trial=False)
    evidence.record_crash(DEADLY, "e1", "a1", 3.0, trial=False)
    for number in range(10_000):
        evidence.record_crash(f"{number:x}", f"x{number}", "a", 4.0, trial=False)
        harmless.add(f"{number:x}")
    assert len(evidence.records(5.0)) <= MAX_PARTS + 1
    assert evidence.verdict([DEADLY], 5.0) is Verdict.REFUSED
    assert sum(f"{n:x}" in harmless for n in range(10_000)) == MAX_HARMLESS_PARTS


@pytest.mark.parametrize("seed", range(5))
def test_records_merge_in_any_order(seed: int) -> None:
    rng = random.Random(seed)
    records = [
        CrashRecord(rng.choice("ab"), f"e{n}", f"a{n}", rng.randrange(5000), False)
        for n in range(6)
    ]
    records.append(CrashRecord("a", "", "", 100, False))
    digests = set()
    for _ in range(10):
        rng.shuffle(records)
        evidence = CrashEvidenceSet()
        for record in records:
            evidence.merge([record, rng.choice(records)], 100.0)
        digests.add(evidence.digest(100.0))
        assert not evidence.merge(records, 100.0)
    assert len(digests) == 1


def test_reset_connections_of_one_host_are_no_crash() -> None:
    reports = CrashReports()
    reports.record_broken_run("e", 10.0)
    assert not reports.is_crash("e", 7, 10.01)
    for _ in range(7):
        reports.record_broken_run("e", 10.02)
    assert reports.is_crash("e", 0, 10.05)
    assert not reports.is_crash("e", 0, 20.0)


def test_suspects_run_one_after_the_other_at_the_idlest_engine() -> None:
    harness = QueueHarness(decode_engines=2)
    for number in range(4):
        assert harness.add(run_request(f"r{number}"))
        harness.finish_prefill(f"r{number}")
    harness.end("r0")
    first, second = (
        _suspect(run_request(f"s{number}", objective_ms=5000)) for number in range(2)
    )
    assert granted(harness.add(first)) == ["s0"]
    ledger = harness.queue.ledger
    engine_id = ledger.decode_engine_of("s0")
    runs = ledger.runs_by_engine()
    assert runs[engine_id] == min(runs["d0"], runs["d1"])
    harness.finish_prefill("s0")
    assert not granted(harness.add(second))
    harness.queue.trials.end("s0")
    assert granted(harness.queue.advance(harness.now_s)) == ["s1"]


def test_trial_waits_for_an_engine_with_few_runs() -> None:
    """A crash at a busy engine would end many streams."""
    harness = QueueHarness(decode_engines=1)
    harness.fill(6)
    crash_s = harness.now_s
    harness.queue.trials.history_of = lambda parts: CrashHistory(crash_s)
    decisions = harness.add(_suspect(run_request("s0")))
    assert refused(decisions) == {"s0": "trial_deferred"}
    harness.clock.advance(PATIENCE_S)
    assert granted(harness.add(_suspect(run_request("s1")))) == ["s1"]


def test_queued_suspects_are_refused_with_the_verdict() -> None:
    harness = QueueHarness()
    assert granted(harness.add(_suspect(run_request("s0"))))
    harness.finish_prefill("s0")
    assert not harness.add(_suspect(run_request("s1", objective_ms=5000)))
    decisions = harness.queue.refuse_quarantined(bool, harness.now_s)
    assert refused(decisions) == {"s1": "prompt_quarantined"}


def _suspect(request: RunRequest) -> RunRequest:
    return replace(request, suspect_parts=(DEADLY,))
