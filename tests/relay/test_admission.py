"""Guards against owners that are given up, or kept, without a reason."""

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
from kumquat_relay.beliefs import Beliefs
from kumquat_relay.engine_health import EngineHealth
from kumquat_relay.owner_choice import OwnerChoice
from kumquat_relay.protocols import HostEntry

from .builders import SERVICE, run_request

HOSTS = {"a": 1.0, "b": 1.0, "c": 1.0}


class Links:
    """Peers that answer or not, by host id; ``drop`` renews a link."""

    def __init__(self) -> None:
        self.silent: set[str] = set()
        self.stale: set[str] = set()
        self.calls: list[tuple[str, type[Message]]] = []
        self.drops: list[str] = []

    async def call(self, host_id: str, message: Message, timeout_s: float) -> Message:
        self.calls.append((host_id, type(message)))
        await asyncio.sleep(0)
        if host_id in self.silent | self.stale:
            raise RouterError(ResultCode.PEER_CLOSED, "no reply")
        if isinstance(message, RunRequest):
            return RunGrant(message.request_id, "d0", "1.2.3.4:5", "", "", 0)
        assert isinstance(message, RunsHeld)
        return RunsNoted(host_id, 3)

    def post(self, host_id: str, message: Message) -> None:
        self.calls.append((host_id, type(message)))

    def drop(self, host_id: str) -> None:
        self.drops.append(host_id)
        self.stale.discard(host_id)


class World:
    """The admission of a host that owns nothing."""

    def __init__(self) -> None:
        clock = ManualClock(100.0)
        self.links = Links()
        self.owners = OwnerChoice("z", clock, lambda: HOSTS, 0.1)
        beliefs = Beliefs(clock, EngineHealth(clock))
        self.admission = Admission(
            "z", clock, beliefs, self.links, self.owners, local=None
        )
        self.first = self.owners.owner(SERVICE)

    def reports_to(self, host_id: str) -> int:
        return self.links.calls.count((host_id, RunsHeld))


def test_a_link_that_fell_silent_does_not_change_the_owner() -> None:
    """Three owners followed each other within two seconds, and their queues
    asked for 75 reservations in vain (vrecar-juta scale-1)."""

    async def run() -> None:
        world = World()
        world.links.stale.add(world.first)
        await world.admission._report_to(world.first, SERVICE)
        assert world.links.drops == [world.first]
        assert world.owners.owner(SERVICE) == world.first

    asyncio.run(run())


def test_an_owner_that_stays_silent_is_replaced() -> None:
    async def run() -> None:
        world = World()
        world.links.silent.add(world.first)
        await world.admission._report_to(world.first, SERVICE)
        assert world.owners.owner(SERVICE) != world.first

    asyncio.run(run())


def test_all_who_wait_share_one_question_to_a_silent_owner() -> None:
    async def run() -> None:
        world = World()
        world.links.silent.add(world.first)
        grants = await asyncio.gather(
            *(world.admission.place(run_request(f"r{n}")) for n in range(20))
        )
        assert len(grants) == 20
        assert world.reports_to(world.first) == 1

    asyncio.run(run())


def test_requests_on_a_link_that_fell_silent_ask_the_same_owner_again() -> None:
    async def run() -> None:
        world = World()
        world.links.stale.add(world.first)
        await world.admission.place(run_request("r"))
        asked = [host for host, kind in world.links.calls if kind is RunRequest]
        assert asked == [world.first, world.first]

    asyncio.run(run())


def reports_in(hosts: int, *, busy: bool) -> int:
    """Return how often one of so many hosts reports in 20 periods."""
    world = World()
    beliefs = world.admission._beliefs
    for number in range(hosts):
        host_id = f"h{number}"
        address = Address("10.0.0.1", number + 1)
        beliefs.hosts_by_id[host_id] = HostEntry(host_id, address, "a", 1)
    world.admission._asking = int(busy)
    return sum(world.admission._is_report_due() for _ in range(20))


def test_idle_hosts_of_a_large_fleet_report_less_often() -> None:
    """An owner read 390 reports a second, most of them of idle hosts."""
    assert reports_in(9, busy=False) == 20
    assert reports_in(195, busy=False) == 5
    assert reports_in(195, busy=True) == 20
