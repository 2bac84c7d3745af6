"""Tests that a host changes the owner only when it does not reply."""

import asyncio

from kumquat_core.clock import ManualClock
from kumquat_core.peer_messages import (
    Message,
    RunGrant,
    RunRequest,
    RunsHeld,
    RunsNoted,
)
from kumquat_core.result_codes import ResultCode, RouterError
from kumquat_core.settings import Address
from kumquat_relay.admission import Admission
from kumquat_relay.cluster_state import ClusterState
from kumquat_relay.engine_health import EngineHealth
from kumquat_relay.known_limits import KnownLimits
from kumquat_relay.owner_selection import OwnerSelection
from kumquat_relay.protocols import HostEntry

from .builders import SERVICE, run_request
from .quarantine_fleet import quarantine_of

HOSTS = {"a": 1.0, "b": 1.0, "c": 1.0}


class FakeLinks:
    """Links to peers, of which some do not reply.

    Hosts in ``unresponsive`` never reply; hosts in ``half_open`` reply after
    ``drop`` has closed their link.
    """

    def __init__(self) -> None:
        self.unresponsive: set[str] = set()
        self.half_open: set[str] = set()
        self.calls: list[tuple[str, type[Message]]] = []
        self.drops: list[str] = []

    async def call(self, host_id: str, message: Message, timeout_s: float) -> Message:
        self.calls.append((host_id, type(message)))
        await asyncio.sleep(0)
        if host_id in self.unresponsive | self.half_open:
            raise RouterError(ResultCode.PEER_CLOSED, "no reply")
        if isinstance(message, RunRequest):
            return RunGrant(message.request_id, "d0", "1.2.3.4:5", "", "", 0)
        assert isinstance(message, RunsHeld)
        return RunsNoted(host_id, 3)

    def post(self, host_id: str, message: Message) -> None:
        self.calls.append((host_id, type(message)))

    def drop(self, host_id: str) -> None:
        self.drops.append(host_id)
        self.half_open.discard(host_id)


class AdmissionHarness:
    """The admission of a host that is too weak to own a queue."""

    def __init__(self) -> None:
        clock = ManualClock(100.0)
        self.links = FakeLinks()
        self.owners = OwnerSelection("z", clock, lambda: HOSTS, 0.1)
        cluster_state = ClusterState(clock, EngineHealth(clock))
        self.admission = Admission(
            "z",
            clock,
            cluster_state,
            self.links,
            self.owners,
            queue_owner=None,
            limits=KnownLimits(clock, cluster_state),
            quarantine=quarantine_of("z", clock, cluster_state.registry).prompts,
        )
        self.preferred_owner = self.owners.owner(SERVICE)

    def reports_to(self, host_id: str) -> int:
        return self.links.calls.count((host_id, RunsHeld))


def test_half_open_link_does_not_change_the_owner() -> None:
    """Changing the owner on one lost reply led to three owners in two seconds.

    A new owner does not know the runs in progress, so its grants need
    reservations at the engines; 75 of these were wasted.
    """

    async def run() -> None:
        harness = AdmissionHarness()
        harness.links.half_open.add(harness.preferred_owner)
        await harness.admission._report_to(harness.preferred_owner, SERVICE)
        assert harness.links.drops == [harness.preferred_owner]
        assert harness.owners.owner(SERVICE) == harness.preferred_owner

    asyncio.run(run())


def test_owner_unresponsive_on_a_new_link_is_replaced() -> None:
    async def run() -> None:
        harness = AdmissionHarness()
        harness.links.unresponsive.add(harness.preferred_owner)
        await harness.admission._report_to(harness.preferred_owner, SERVICE)
        assert harness.owners.owner(SERVICE) != harness.preferred_owner

    asyncio.run(run())


def test_waiting_requests_share_one_check_of_an_unresponsive_owner() -> None:
    async def run() -> None:
        harness = AdmissionHarness()
        harness.links.unresponsive.add(harness.preferred_owner)
        grants = await asyncio.gather(
            *(harness.admission.acquire_slot(run_request(f"r{n}")) for n in range(20))
        )
        assert len(grants) == 20
        assert harness.reports_to(harness.preferred_owner) == 1

    asyncio.run(run())


def test_request_on_a_half_open_link_is_repeated_to_the_same_owner() -> None:
    async def run() -> None:
        harness = AdmissionHarness()
        harness.links.half_open.add(harness.preferred_owner)
        await harness.admission.acquire_slot(run_request("r"))
        requested = [host for host, kind in harness.links.calls if kind is RunRequest]
        assert requested == [harness.preferred_owner, harness.preferred_owner]

    asyncio.run(run())


def count_reports(hosts: int, *, active: bool) -> int:
    """Return how often one of ``hosts`` hosts reports in 20 periods."""
    harness = AdmissionHarness()
    cluster_state = harness.admission._cluster_state
    for number in range(hosts):
        host_id = f"h{number}"
        address = Address("10.0.0.1", number + 1)
        cluster_state.hosts_by_id[host_id] = HostEntry(host_id, address, "a", 1)
    harness.admission._pending_requests = int(active)
    return sum(harness.admission._is_report_due() for _ in range(20))


def test_idle_hosts_report_less_often_in_a_large_fleet() -> None:
    """Otherwise an owner of 195 hosts processes 390 reports per second."""
    assert count_reports(9, active=False) == 20
    assert count_reports(195, active=False) == 5
    assert count_reports(195, active=True) == 20
