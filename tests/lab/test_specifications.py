"""Guards against a specification that could not find a broken rule.

Each mutant breaks one rule of a protocol; the model checker must find a
counterexample of the named property.
"""

import pytest

from kumquat_lab import spec_memory, spec_requests, spec_tickets
from kumquat_lab.model_checks import run_check
from kumquat_lab.spec_memory import MemoryModel, memory_specification
from kumquat_lab.spec_requests import RequestsModel, requests_specification
from kumquat_lab.spec_tickets import Outage, TicketsModel, tickets_specification

# Mutants of rules that concern only backend servers of one kind.
NEEDS_NO_FENCING = {"trusts_missing_fence"}


@pytest.mark.parametrize("mutant", spec_requests.MUTANTS)
def test_mutant_of_the_request_record_is_refuted(mutant):
    checks_fencing = mutant not in NEEDS_NO_FENCING
    faults = 2 if mutant == "send_without_proof" else 1
    model = RequestsModel(2, checks_fencing, faults, crashes=1, mutant=mutant)
    result = run_check(requests_specification(model))
    assert result.violations[spec_requests.MUTANTS[mutant]]


@pytest.mark.parametrize("mutant", spec_tickets.MUTANTS)
def test_mutant_of_the_ticket_log_is_refuted(mutant):
    outage = Outage.FINAL if mutant == "no_peer_fetch" else Outage.PASSING
    numbers = (2, 1, 1) if mutant == "number_not_checked" else (2, 1)
    model = TicketsModel(numbers, outage=outage, mutant=mutant)
    result = run_check(tickets_specification(model, max_states=20_000))
    assert result.violations[spec_tickets.MUTANTS[mutant]]


@pytest.mark.parametrize("mutant", spec_memory.MUTANTS)
def test_mutant_of_engine_memory_is_refuted(mutant):
    model = MemoryModel(crashes=1, mutant=mutant)
    result = run_check(memory_specification(model))
    assert result.violations[spec_memory.MUTANTS[mutant]]


def test_search_that_was_cut_short_does_not_pass():
    result = run_check(memory_specification(MemoryModel(), max_states=100))
    assert not result.exhaustive
    assert not result.violations
    assert not result.passed
