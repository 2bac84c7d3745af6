"""Mutants of the protocols, each of which breaks one rule.

The checker must find a counterexample to the property that the rule
protects. A mutant without one shows that the check cannot detect the fault.
"""

from dataclasses import dataclass

from . import spec_memory, spec_requests, spec_tickets
from .model_checks import Specification
from .spec_memory import MemoryModel, memory_specification
from .spec_requests import RequestsModel, requests_specification
from .spec_tickets import Outage, TicketsModel, tickets_specification

__all__ = ["Mutant", "all_mutants", "mutant_specification"]

MAX_TICKETS_STATES = 20_000

# Mutants of rules that apply only to backend servers without fencing.
NEEDS_NO_FENCING = {"trusts_missing_fence"}


@dataclass(frozen=True)
class Mutant:
    """A broken rule and the property that must be found violated."""

    protocol: str
    name: str
    violated: str


def all_mutants() -> list[Mutant]:
    """Return the mutants of all protocols."""
    mutants_by_protocol = {
        "requests": spec_requests.MUTANTS,
        "tickets": spec_tickets.MUTANTS,
        "memory": spec_memory.MUTANTS,
    }
    return [
        Mutant(protocol, name, violated)
        for protocol, mutants in mutants_by_protocol.items()
        for name, violated in mutants.items()
    ]


def mutant_specification(mutant: Mutant) -> Specification:
    """Return the specification in which a mutant's rule is broken."""
    name = mutant.name
    match mutant.protocol:
        case "requests":
            faults = 2 if name == "send_without_proof" else 1
            fencing = name not in NEEDS_NO_FENCING
            model = RequestsModel(2, fencing, faults, crashes=1, mutant=name)
            return requests_specification(model)
        case "tickets":
            outage = Outage.PERMANENT if name == "no_peer_fetch" else Outage.TEMPORARY
            numbers = (2, 1, 1) if name == "number_not_checked" else (2, 1)
            tickets = TicketsModel(numbers, outage=outage, mutant=name)
            return tickets_specification(tickets, max_states=MAX_TICKETS_STATES)
        case "memory":
            return memory_specification(MemoryModel(crashes=1, mutant=name))
    raise ValueError(mutant.protocol)
