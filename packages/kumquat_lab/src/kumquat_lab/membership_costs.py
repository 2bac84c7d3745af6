"""Measures message cost and failure detection time of membership in memory.

``python -m kumquat_lab.membership_costs --members 9 --seed 1`` simulates
members that exchange encoded messages under a manual clock, without sockets.
A call is answered immediately or lost; a lost call takes its full timeout.
Times are exact to one step of the clock.
"""

import json
import math
import random
from collections.abc import Iterable
from dataclasses import asdict, dataclass, field
from typing import Annotated

import typer

from kumquat_core.clock import ManualClock
from kumquat_core.configuration import ServerState
from kumquat_core.host_list_client import ListedHost
from kumquat_core.membership import Membership
from kumquat_core.peer_messages import (
    Ack,
    Envelope,
    MemberUpdate,
    Message,
    Ping,
    PingRequest,
    encode,
)

__all__ = ["SimulatedNetwork", "MembershipMeasurement", "measure"]

PERIOD_S = 0.5
TIMEOUT_S = 0.4
SUSPICION_S = 1.5
STEP_S = 0.1
STEPS_PER_PERIOD = 5
LENGTH_BYTES = 4

# With 380 hosts in one region the initial pings to all of them take 12 s.
INITIAL_PROBES_S = 20.0


@dataclass
class _Probe:
    """A probe without a response, which fails at ``due_s``."""

    origin: str
    target: str
    due_s: float
    others_answered: bool


@dataclass
class SimulatedNetwork:
    """Members in one process, with partitions, suspension and message loss.

    ``blocked_links`` holds ordered pairs of host ids: messages from the first
    to the second are lost. A suspended member neither runs nor responds.
    """

    seed: int
    loss: float = 0.0
    clock: ManualClock = field(default_factory=ManualClock)
    members_by_id: dict[str, Membership] = field(default_factory=dict)
    blocked_links: set[tuple[str, str]] = field(default_factory=set)
    suspended: set[str] = field(default_factory=set)
    sent_messages: int = 0
    sent_bytes: int = 0

    def __post_init__(self) -> None:
        """Seed the random generator of message loss and period offsets."""
        self._rng = random.Random(f"network/{self.seed}")
        self._period_offsets_by_id: dict[str, int] = {}
        self._failed_probes: list[_Probe] = []
        self._step = 0

    def add(self, host_id: str, region: str = "r", incarnation: int = 1) -> Membership:
        """Add a process, which replaces an earlier one of the same host."""
        membership = Membership(
            MemberUpdate(host_id, incarnation, 0, "alive", "127.0.0.1", 1, "d", region),
            self.clock,
            random.Random(f"{self.seed}/{host_id}/{incarnation}"),
            period_s=PERIOD_S,
            suspicion_s=SUSPICION_S,
        )
        self.members_by_id[host_id] = membership
        self._period_offsets_by_id[host_id] = self._rng.randrange(STEPS_PER_PERIOD)
        return membership

    def remove(self, host_id: str) -> None:
        """Remove a process without any message, as a crash does."""
        del self.members_by_id[host_id]

    def publish_host_list(self, hosts: Iterable[ListedHost] | None = None) -> None:
        """Apply a host list, by default of all members, at every member."""
        listed = list(hosts or map(to_listed_host, self.members_by_id.values()))
        for membership in self.members_by_id.values():
            membership.apply_host_list(listed)

    def run(self, seconds: float) -> None:
        """Advance the clock step by step and run the protocol periods due."""
        for _ in range(round(seconds / STEP_S)):
            self.clock.advance(STEP_S)
            self._step += 1
            self._report_failed_probes()
            for host_id in list(self.members_by_id):
                step_in_period = (
                    self._step + self._period_offsets_by_id[host_id]
                ) % STEPS_PER_PERIOD
                if step_in_period == 0 and host_id not in self.suspended:
                    self._run_period(host_id)

    def _run_period(self, host_id: str) -> None:
        membership = self.members_by_id[host_id]
        for target in membership.next_pings():
            if self._ping(host_id, target):
                membership.mark_probed(target)
                continue
            calls = membership.indirect_ping_requests(target)
            replies = [self._call(host_id, *call) for call in calls]
            answers = [reply for reply in replies if reply is not None]
            if any(ack.host_id == target and ack.reached for ack in answers):
                continue
            due_s = self.clock.monotonic() + 3 * TIMEOUT_S
            self._failed_probes.append(_Probe(host_id, target, due_s, bool(answers)))

    def _report_failed_probes(self) -> None:
        now_s = self.clock.monotonic()
        due = [probe for probe in self._failed_probes if probe.due_s <= now_s]
        self._failed_probes = [
            probe for probe in self._failed_probes if probe.due_s > now_s
        ]
        for probe in due:
            origin = self.members_by_id.get(probe.origin)
            if origin is not None and probe.origin not in self.suspended:
                origin.record_probe_failure(
                    probe.target, others_answered=probe.others_answered
                )
                origin.mark_probed(probe.target)

    def _ping(self, origin: str, target: str) -> bool:
        ping = self.members_by_id[origin].ping_for(target)
        return self._call(origin, target, ping) is not None

    def _call(self, origin: str, target: str, message: Message) -> Ack | None:
        if not self._deliver(origin, target, message):
            return None
        assert isinstance(message, Ping | PingRequest)
        receiver = self.members_by_id[target]
        receiver.handle(message, origin)
        if isinstance(message, Ping):
            reply = receiver.ack_for(origin)
        else:
            reached = self._ping(target, message.target)
            reply = receiver.indirect_ack_for(origin, message.target, reached=reached)
        if not self._deliver(target, origin, reply):
            return None
        self.members_by_id[origin].handle(reply, target)
        return reply

    def _deliver(self, origin: str, target: str, message: Message) -> bool:
        self.sent_messages += 1
        self.sent_bytes += len(encode(Envelope(1, message))) + LENGTH_BYTES
        if (origin, target) in self.blocked_links or target in self.suspended:
            return False
        return target in self.members_by_id and self._rng.random() >= self.loss


def to_listed_host(membership: Membership) -> ListedHost:
    """Return the entry of a member in the platform's host list."""
    own = membership.own
    return ListedHost(
        own.host_id,
        own.ip,
        own.peer_port,
        own.failure_domain,
        own.region,
        ServerState.LIVE,
    )


@dataclass(frozen=True)
class MembershipMeasurement:
    """Results of one run; rates are per host and second."""

    members: int
    regions: int
    seed: int
    loss: float
    messages_per_s: float
    bytes_per_s: float
    false_deaths: int
    host_seconds: int
    death_known_s: float | None


def measure(
    members: int, regions: int, seed: int, loss: float, seconds: float
) -> MembershipMeasurement:
    """Measure message costs after the initial probes, then a host's death."""
    network = SimulatedNetwork(seed)
    for index in range(members):
        network.add(f"host-{index}", f"region-{index % regions}")
    network.publish_host_list()
    network.run(INITIAL_PROBES_S)
    network.loss = loss
    network.sent_messages = network.sent_bytes = 0
    before = _count_deaths(network)
    network.run(seconds)
    messages, sent_bytes = network.sent_messages, network.sent_bytes
    false_deaths = _count_deaths(network) - before
    host_seconds = members * seconds
    return MembershipMeasurement(
        members=members,
        regions=regions,
        seed=seed,
        loss=loss,
        messages_per_s=round(messages / host_seconds, 2),
        bytes_per_s=round(sent_bytes / host_seconds, 1),
        false_deaths=false_deaths,
        host_seconds=round(host_seconds),
        death_known_s=_measure_death_detection(network),
    )


def _count_deaths(network: SimulatedNetwork) -> int:
    return sum(m.counters.deaths for m in network.members_by_id.values())


def _measure_death_detection(
    network: SimulatedNetwork, limit_s: float = 60
) -> float | None:
    """Remove a member; return how long any member of its region lists it live.

    Returns None when this takes longer than the limit.
    """
    region = network.members_by_id["host-0"].own.region
    network.remove("host-0")
    others = [m for m in network.members_by_id.values() if m.own.region == region]
    for step in range(1, math.ceil(limit_s / STEP_S)):
        network.run(STEP_S)
        if not any(m.is_live("host-0", 1) for m in others):
            return round(step * STEP_S, 1)
    return None


def main(
    members: Annotated[int, typer.Option(help="Number of hosts.")] = 9,
    regions: Annotated[int, typer.Option(help="Number of regions.")] = 1,
    seed: Annotated[int, typer.Option(help="Seed of all random choices.")] = 1,
    loss: Annotated[float, typer.Option(help="Share of lost messages.")] = 0.0,
    seconds: Annotated[float, typer.Option(help="Measured time.")] = 60.0,
) -> None:
    """Print the measurements of one run as JSON."""
    typer.echo(json.dumps(asdict(measure(members, regions, seed, loss, seconds))))


if __name__ == "__main__":
    typer.run(main)
