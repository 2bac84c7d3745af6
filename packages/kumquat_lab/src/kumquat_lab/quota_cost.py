"""Measures the processor time that the owner of quotas needs.

Every host uses the same accounts, with random arrivals at 0.57 of each quota.
Hosts and owner are the ones of the relay, and their messages are encoded; the
measured time is that of decoding a request, deciding on it and encoding the
reply. Run it with ``python -m kumquat_lab.quota_cost``.
"""

import random
import time
from dataclasses import dataclass

from rich.console import Console

from kumquat_core.clock import ManualClock
from kumquat_core.peer_messages import Envelope, decode, encode
from kumquat_core.quota_messages import QuotaGrant, QuotaRequest
from kumquat_relay.accounts.client_accounts import QuotaSpec
from kumquat_relay.accounts.quota_bound import QuotaBound
from kumquat_relay.accounts.quota_credit import QuotaCredit
from kumquat_relay.accounts.quota_decision import Verdict
from kumquat_relay.accounts.quota_owner import QuotaOwner

__all__ = ["QuotaCost", "measure_quotas", "run_quotas"]

SIZES = ((88, 0), (88, 10), (380, 0), (380, 1), (380, 10))
STEP_S = 0.05
STEPS_PER_REPORT = 10
# Buckets have filled after this time.
WARM_UP_STEPS = 100
STEPS = 40
REQUESTS_PER_S = 3.0
USED_RATIO = 0.57
FRAME_BYTES = 4


@dataclass
class QuotaCost:
    """Calls of all hosts, accounts in them, and what they cost the owner."""

    calls: int = 0
    accounts: int = 0
    owner_ns: int = 0
    received_bytes: int = 0
    sent_bytes: int = 0
    refused: int = 0


class _Fleet:
    def __init__(self, hosts: int, accounts: int) -> None:
        self.clock, self.rng = ManualClock(100.0), random.Random(1)
        rate_per_s = REQUESTS_PER_S * hosts / USED_RATIO
        bound = QuotaBound(8.0, 0.1, 0.6 * rate_per_s)
        self.quotas = {
            f"account-{number}": QuotaSpec(rate_per_s, rate_per_s)
            for number in range(accounts)
        }
        self.host_ids = [f"host-{number}" for number in range(hosts)]
        self.owner = QuotaOwner(
            self.clock, lambda: self.quotas, lambda: self.host_ids, bound
        )
        self.credits = [QuotaCredit(1, lambda: hosts, bound) for _ in self.host_ids]
        self.cost = QuotaCost()

    def step(self, number: int) -> None:
        self.clock.advance(STEP_S)
        for index in range(len(self.host_ids)):
            self._use(index)
            if (number + index) % STEPS_PER_REPORT == 0:
                self._call(index)

    def _use(self, index: int) -> None:
        """Decide on the requests of one step at a host."""
        credit, now_s = self.credits[index], self.clock.monotonic()
        waiting = []
        for name, quota in self.quotas.items():
            if self.rng.random() >= REQUESTS_PER_S * STEP_S:
                continue
            credit.begin(name, 1.0, now_s)
            decision = credit.decide(name, quota, 1.0, 0.0, now_s)
            if decision.verdict is Verdict.WAIT:
                credit.begin_wait(name, 1.0)
                waiting.append(name)
        if waiting:
            self._call(index)
        for name in waiting:
            credit.end_wait(name, 1.0)
            decision = credit.decide(name, self.quotas[name], 1.0, 0.0, now_s)
            self.cost.refused += decision.verdict is not Verdict.RUN

    def _call(self, index: int) -> None:
        credit, cost = self.credits[index], self.cost
        request = credit.request("owner", self.clock.monotonic())
        data = encode(Envelope(1, request))
        began_ns = time.process_time_ns()
        message = decode(data).message
        assert isinstance(message, QuotaRequest)
        grant = self.owner.handle(message, self.host_ids[index])
        reply = encode(Envelope(1, grant))
        cost.owner_ns += time.process_time_ns() - began_ns
        received = decode(reply).message
        assert isinstance(received, QuotaGrant)
        credit.apply(received, self.clock.monotonic())
        cost.calls += 1
        cost.accounts += len(request.needs)
        cost.received_bytes += len(data) + FRAME_BYTES
        cost.sent_bytes += len(reply) + FRAME_BYTES


def measure_quotas(hosts: int, accounts: int) -> QuotaCost:
    """Return the cost of two seconds with accounts in use at all hosts."""
    fleet = _Fleet(hosts, accounts)
    for number in range(WARM_UP_STEPS):
        fleet.step(number)
    fleet.cost = QuotaCost()
    for number in range(STEPS):
        fleet.step(number)
    return fleet.cost


def run_quotas() -> None:
    """Print one line per number of hosts and of accounts in use at each."""
    console = Console()
    seconds = STEPS * STEP_S
    for hosts, accounts in SIZES:
        cost = measure_quotas(hosts, accounts)
        console.print(
            f"hosts={hosts} accounts={accounts} "
            f"calls_per_s={cost.calls / seconds:.0f} "
            f"accounts_per_call={cost.accounts / cost.calls:.2f} "
            f"call_us={cost.owner_ns / cost.calls / 1000:.1f} "
            f"owner_ms_per_s={cost.owner_ns / seconds / 1e6:.1f} "
            f"received_kb_per_s={cost.received_bytes / seconds / 1000:.1f} "
            f"sent_kb_per_s={cost.sent_bytes / seconds / 1000:.1f} "
            f"refused={cost.refused}",
            soft_wrap=True,
        )


if __name__ == "__main__":
    run_quotas()
