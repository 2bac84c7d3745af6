"""Simulates a fleet that sends to one server with a limit, without I/O.

Hosts report to the owner that they select and ask it for permits. Hosts may
freeze, restart, die, lose the owner or select different owners. Time advances
in steps, and all calls take no time.
"""

import random
from dataclasses import dataclass, field

from kumquat_core.clock import ManualClock
from kumquat_core.limit_messages import limits_digest
from kumquat_core.peer_messages import (
    PermitRequest,
    RunsHeld,
    ServerLimit,
    ServerLimitNotice,
)
from kumquat_core.settings import Address
from kumquat_relay.cluster_state import ClusterState
from kumquat_relay.engine_health import EngineHealth
from kumquat_relay.limit_owner import LimitOwner
from kumquat_relay.protocols import HostEntry
from kumquat_relay.report_period import REPORT_S, idle_report_periods
from kumquat_relay.send_permits import BATCH_S, PERMIT_TTL_S

GROUP = "advice"
ENGINE = "e"
STEP_S = 0.05


def server_limit(rate_per_s: float, born_ms: int = 0) -> ServerLimit:
    return ServerLimit(ENGINE, GROUP, born_ms, rate_per_s)


@dataclass
class _Host:
    """A host, the owner that it selects, and when it acts next."""

    owner: str
    next_report_s: float
    next_ask_s: float = 0.0
    stopped_until_s: float = 0.0
    dead: bool = False
    reported_owner: str = ""
    confirmed: bool = False
    wanted_s: list[float] = field(default_factory=list)
    permits_s: list[float] = field(default_factory=list)


class LimitSimulation:
    """A fleet of hosts with one limited server; ``sends_s`` are the sends."""

    def __init__(self, hosts: int, rate_per_s: float, seed: int = 1) -> None:
        self.clock = ManualClock(100.0)
        self.rng = random.Random(seed)
        self.limit = server_limit(rate_per_s)
        self.sends_s: list[float] = []
        self.messages = 0
        # Whether the hosts know of the limit when they change their owner.
        self.aware = True
        self._period_s = REPORT_S * idle_report_periods(hosts)
        self._states = {f"h{n}": self._new_state(hosts) for n in range(hosts)}
        self.owners = {
            host_id: LimitOwner(self.clock, state)
            for host_id, state in self._states.items()
        }
        self.hosts = {
            host_id: _Host("h0", 100.0 + self.rng.uniform(0, self._period_s))
            for host_id in self._states
        }

    def _new_state(self, hosts: int) -> ClusterState:
        state = ClusterState(self.clock, EngineHealth(self.clock))
        for number in range(hosts):
            host_id = f"h{number}"
            address = Address("10.0.0.1", number + 1)
            state.hosts_by_id[host_id] = HostEntry(host_id, address, "a", 0)
        return state

    def name_limit(self, host_id: str = "h0") -> None:
        """Deliver a response that names the limit to the owner of a host."""
        owner = self.owners[self.hosts[host_id].owner]
        owner.apply_notice(ServerLimitNotice(GROUP, self.limit, True), host_id)

    def run(self, seconds: float, demand_per_s: float) -> None:
        """Let all hosts together send as many of the requests as they may."""
        end_s = self.clock.monotonic() + seconds
        while self.clock.monotonic() < end_s:
            self.clock.advance(STEP_S)
            self._step(demand_per_s)

    def _step(self, demand_per_s: float) -> None:
        now_s = self.clock.monotonic()
        running = {
            host_id
            for host_id, host in self.hosts.items()
            if not host.dead and now_s >= host.stopped_until_s
        }
        for host_id in running:
            self._report_if_due(host_id, running)
        for host_id in running:
            self.owners[host_id].refresh_shares()
        wanted = demand_per_s * STEP_S
        requests = int(wanted) + (self.rng.random() < wanted % 1)
        for host_id in self.rng.choices(sorted(running), k=requests):
            self._send(host_id, running)

    def _report_if_due(self, host_id: str, running: set[str]) -> None:
        host, now_s = self.hosts[host_id], self.clock.monotonic()
        if now_s < host.next_report_s:
            return
        host.next_report_s = now_s + self._period_s
        if host.owner in running:
            self.messages += 1
            counted = not self.aware or host.reported_owner == host.owner
            host.reported_owner = host.owner
            digest = limits_digest([self.limit]) if self.aware else 0
            sends_limits = self.aware and not (counted and host.confirmed)
            limits = (self.limit,) if sends_limits else ()
            report = RunsHeld(GROUP, (), counted, digest, limits)
            reply = self.owners[host.owner].apply_report(report, host_id)
            host.confirmed = reply is None

    def _send(self, host_id: str, running: set[str]) -> None:
        host, now_s = self.hosts[host_id], self.clock.monotonic()
        host.wanted_s = [time for time in host.wanted_s if time >= now_s - BATCH_S]
        host.wanted_s.append(now_s)
        host.permits_s = [time for time in host.permits_s if time >= now_s]
        if not host.permits_s:
            if now_s < host.next_ask_s or host.owner not in running:
                return
            self.messages += 1
            message = PermitRequest(GROUP, ENGINE, len(host.wanted_s))
            reply = self.owners[host.owner].grant_permits(message)
            host.permits_s = [now_s + PERMIT_TTL_S] * reply.granted
            host.next_ask_s = now_s + reply.wait_ms / 1000
        if host.permits_s:
            host.permits_s.pop()
            self.sends_s.append(now_s)

    def restart(self, host_id: str) -> None:
        """Replace the process of a host; it knows no limit and no report."""
        state = self._states[host_id]
        self.owners[host_id] = LimitOwner(self.clock, state)


def largest_count(times_s: list[float], window_s: float) -> int:
    """Return the most times in any window of a length."""
    largest, first = 0, 0
    for last, time_s in enumerate(times_s):
        while times_s[first] <= time_s - window_s:
            first += 1
        largest = max(largest, last - first + 1)
    return largest
