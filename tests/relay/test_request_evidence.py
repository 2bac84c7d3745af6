"""Tests of the evidence on whole requests that crash servers.

A host that does not hear of it sends the request again; one that believes too
much refuses a sound request.
"""

from dataclasses import replace

from kumquat_core.clock import ManualClock
from kumquat_relay.caller_request import CallerRequest
from kumquat_relay.crash_evidence import MAX_WRITE_DELAY_S, CrashEvidenceSet, Verdict
from kumquat_relay.engine_registry import EngineEntry
from kumquat_relay.engine_runs import EngineRun, EngineRuns
from kumquat_relay.relay_settings import parse_address
from kumquat_relay.request_marks import PLAIN_MARK, RequestMarks

from .builders import SERVICE
from .quarantine_fleet import QuarantineFleet, request_with

MARK = f"{PLAIN_MARK}0123456789abcdef01234567"
HOSTS = 380
# Control traffic of a host at the target size, and the time within which all
# hosts must know of a crash there.
CONTROL_BYTES_PER_S = 10_000
CONTACT_S = 5.0
# Requests that run at a server when it crashes.
SUSPECTS = 6


def test_all_hosts_hear_of_a_crash_under_a_plain_request_at_once() -> None:
    """Plain requests need no grant, by which a host would learn it."""
    fleet = QuarantineFleet(HOSTS)
    fleet.crash(MARK, engine="e1")
    fleet.crash(MARK, engine="e2", trial=True)
    fleet.cut = {"h0"}
    for host in fleet.hosts.values():
        verdict = host.verdict_on_parts(SERVICE, (MARK,))
        assert verdict is Verdict.REFUSED


def test_no_host_of_a_large_fleet_sends_more_than_its_control_traffic() -> None:
    """The owner alone would send hundreds of kilobytes after each crash."""
    fleet = QuarantineFleet(HOSTS)
    for number in range(SUSPECTS):
        fleet.crash(f"{MARK}{number}", engine="i-0123456789/1781830210234")
    assert len(fleet.bytes_by_sender) > 1
    assert max(fleet.bytes_by_sender.values()) <= CONTACT_S * CONTROL_BYTES_PER_S


def test_host_that_passes_nothing_on_is_made_up_for_by_the_next_reply() -> None:
    fleet = QuarantineFleet(HOSTS)
    fleet.cut = {"h1", "h10", "h100"}
    fleet.crash(MARK, engine="e1")
    fleet.crash(MARK, engine="e2", trial=True)
    fleet.cut = set()
    for host_id, host in fleet.hosts.items():
        fleet.verdict(host_id)
        assert host.verdict_on_parts(SERVICE, (MARK,)) is Verdict.REFUSED


def test_engine_that_writes_to_the_store_has_not_crashed() -> None:
    """Its connections were reset or refused by the network."""
    evidence = CrashEvidenceSet()
    evidence.record_crash(MARK, "e1/1", "a1", 10.0, trial=False)
    evidence.record_crash(MARK, "e2/1", "a2", 11.0, trial=True)
    assert evidence.verdict((MARK,), 11.0) is Verdict.REFUSED
    assert evidence.record_life("e1/1", 10.0 + MAX_WRITE_DELAY_S / 2) == []
    records = evidence.records(12.0)
    assert evidence.record_life("e1/1", 12.0 + MAX_WRITE_DELAY_S) == [MARK]
    assert evidence.verdict((MARK,), 16.0) is Verdict.TRIAL
    # Another host may not have seen it yet.
    evidence.merge(records, 12.0)
    assert evidence.verdict((MARK,), 16.0) is Verdict.TRIAL
    evidence.record_crash(MARK, "e1/1", "a1", 20.0, trial=False)
    assert evidence.verdict((MARK,), 20.0) is Verdict.REFUSED


def test_mark_tells_callers_methods_targets_and_bodies_apart() -> None:
    """Another request would be refused with the one that crashes servers."""
    marks = RequestMarks()
    request = request_with("a")

    def changed(**fields: object) -> CallerRequest:
        return replace(request, marks_by_key={}, **fields)

    other_caller = replace(request.metadata, credentials=b"Bearer other")
    other_host = replace(request.metadata, host="other.example")
    again = replace(request.metadata, request_id="r2", deadline_ms=7)
    found = {
        marks.mark(item)
        for item in (
            request,
            changed(metadata=other_caller),
            changed(metadata=other_host),
            changed(method="PUT"),
            changed(target="/story/?"),
            changed(body=b"x"),
            changed(target="/story", body=b"/"),
        )
    }
    assert len(found) == 7
    assert marks.mark(changed(metadata=again)) == marks.mark(request)
    other_key = RequestMarks()
    assert other_key.mark(request) not in found


def test_run_that_broke_before_an_answer_of_its_engine_is_no_evidence() -> None:
    """The engine has survived the run, so it ends later for another reason."""
    clock = ManualClock(100.0)
    runs = EngineRuns(clock)
    address = parse_address("10.0.0.1:80")
    entry = EngineEntry("e1", "plain", address, "", 4, False, None, born_ms=5)
    runs.record_broken(EngineRun("plain", (MARK,), entry, trial=False))
    runs.record_answer(entry)
    assert runs.take_ended("e1", None) == ([], [])
    runs.record_broken(EngineRun("plain", (MARK,), entry, trial=False))
    assert runs.take_ended("e1", 5) == ([], [])
    _, broken = runs.take_ended("e1", 6)
    assert [run.parts for run in broken] == [(MARK,)]


def test_run_beside_a_silent_one_does_not_hide_its_engine() -> None:
    """The end of a silent engine was no evidence once another one had the
    request too, and the end of that one was, though its run had ended."""
    runs = EngineRuns(ManualClock(100.0))
    address = parse_address("10.0.0.1:80")
    silent, other = (
        EngineEntry(name, "plain", address, "", 4, False, None, born_ms=5)
        for name in ("silent", "other")
    )
    request = request_with("a")
    for entry in (silent, other):
        runs.begin(request, entry, trial=False)
    open_runs, _ = runs.take_ended("silent", 6)
    assert [run.entry for run in open_runs] == [silent]
    runs.end(request.id, other)
    assert runs.take_ended("other", 6) == ([], [])
    assert len(runs.take_ended("silent", 6)[0]) == 1
    runs.end(request.id)
    assert runs.take_ended("silent", 6) == ([], [])
