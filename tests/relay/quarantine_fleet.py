"""Hosts that exchange evidence on prompt parts, without I/O."""

import asyncio
from collections import Counter

from kumquat_core.clock import Clock, ManualClock
from kumquat_core.peer_messages import CrashEvidence, Envelope, Message, decode, encode
from kumquat_core.result_codes import ResultCode, RouterError
from kumquat_relay.caller_request import CallerRequest, RequestMetadata
from kumquat_relay.crash_evidence import Verdict
from kumquat_relay.crash_observer import CrashObserver
from kumquat_relay.engine_pool import EnginePool
from kumquat_relay.engine_registry import EngineRegistry
from kumquat_relay.host_quarantine import HostQuarantine
from kumquat_relay.owner_selection import OwnerSelection
from kumquat_relay.plain_quarantine import PlainQuarantine
from kumquat_relay.prompt_quarantine import PromptQuarantine
from kumquat_relay.request_trials import RequestTrials
from kumquat_relay.routes import Route, RouteKind, WeightedService

from .builders import SERVICE

ROUTE = Route(
    name="story",
    host="shop.example",
    prefix="/story/",
    kind=RouteKind.STREAM,
    services=(WeightedService(SERVICE, 1),),
    timeout_ms=14_000,
    objective_ms=900,
    priority=1,
    max_engines=2,
    resumable=True,
    max_gap_ms=300,
)


class NoLinks:
    """Links of a host that has no peers."""

    async def call(self, host_id: str, message: Message, timeout_s: float) -> Message:
        raise RouterError(ResultCode.PEER_CLOSED, f"unknown host {host_id}")

    def post(self, host_id: str, message: Message) -> None:
        raise RouterError(ResultCode.PEER_CLOSED, f"unknown host {host_id}")


def quarantine_of(
    host_id: str, clock: Clock, registry: EngineRegistry
) -> HostQuarantine:
    """Return the quarantine of a host that owns all queues."""
    owners = OwnerSelection(host_id, clock, dict)
    links = NoLinks()
    prompts = PromptQuarantine(host_id, clock, links, owners)
    pool = EnginePool(clock)
    observer = CrashObserver(host_id, clock, pool, registry, links, owners, prompts)
    trials = RequestTrials(clock, prompts, registry)
    plain = PlainQuarantine(host_id, clock, links, owners, prompts, observer, trials)
    return HostQuarantine(prompts, observer, trials, plain)


def request_with(*parts: str) -> CallerRequest:
    metadata = RequestMetadata("r", "shop.example", (), None, None, None, parts)
    return CallerRequest(metadata, "POST", "/story/", b"", ROUTE, SERVICE, 0.0)


class _Owner:
    """The owner that a host has selected."""

    def __init__(self, host_id: str) -> None:
        self.host_id = host_id

    def owner(self, service: str) -> str:
        return self.host_id


class _FleetLinks:
    """Delivers messages to the other hosts and counts them.

    They are encoded and decoded as between processes.
    """

    def __init__(self, fleet: "QuarantineFleet", sender: str) -> None:
        self._fleet = fleet
        self._sender = sender

    async def call(self, host_id: str, message: Message, timeout_s: float) -> Message:
        return self._deliver(host_id, message)

    def post(self, host_id: str, message: Message) -> None:
        self._deliver(host_id, message)

    def _deliver(self, host_id: str, message: Message) -> CrashEvidence:
        fleet = self._fleet
        if host_id in fleet.cut or self._sender in fleet.cut:
            raise RouterError(ResultCode.PEER_CLOSED, host_id)
        data = encode(Envelope(1, message))
        fleet.messages += 1
        fleet.bytes += len(data)
        fleet.bytes_by_sender[self._sender] += len(data)
        return fleet.hosts[host_id].apply(decode(data).message, self._sender)


class QuarantineFleet:
    """Hosts that have the owner ``h0``; those in ``cut`` reach no other."""

    def __init__(self, count: int) -> None:
        self.clock = ManualClock(1000.0)
        self.messages = 0
        self.bytes = 0
        self.bytes_by_sender: Counter[str] = Counter()
        self.cut: set[str] = set()
        self.owners = {f"h{number}": _Owner("h0") for number in range(count)}
        self.hosts: dict[str, PromptQuarantine] = {}
        # Hosts that hold runs at the queue of each owner.
        self.active: set[str] = set()
        for host_id in self.owners:
            self.restart(host_id)

    def restart(self, host_id: str) -> None:
        """Start a host that knows nothing."""
        host = PromptQuarantine(
            host_id,
            self.clock,
            _FleetLinks(self, host_id),
            self.owners[host_id],
            all_hosts=lambda: self.owners,
        )
        host.hosts_of = lambda service: self.active
        self.hosts[host_id] = host

    def change_owner(self, owner: str) -> None:
        for selected in self.owners.values():
            selected.host_id = owner

    def crash(
        self,
        *parts: str,
        engine: str,
        owner: str = "h0",
        address: str | None = None,
        trial: bool = False,
    ) -> None:
        """Report a crash to an owner, as a host with such a run does."""
        self.hosts[owner].record_crash(
            SERVICE, parts, engine, address or f"{engine}:80", trial=trial
        )

    def verdict(self, host_id: str, *parts: str) -> Verdict:
        """Return the verdict of a host that has just been granted a slot."""
        owner = self.owners[host_id].host_id
        digest = self.hosts[owner].digest(SERVICE)
        if host_id not in self.cut and owner not in self.cut:
            asyncio.run(self.hosts[host_id].synchronize(SERVICE, owner, digest))
        return self.hosts[host_id].verdict(request_with(*parts))

    def answered(self, host_id: str, *parts: str) -> None:
        self.hosts[host_id].record_answered(request_with(*parts))
