"""Tests that a fleet keeps and uses up the limit of one server."""

import pytest

from .limit_simulation import GROUP, LimitSimulation, largest_count

WINDOW_S = 4.0
# Unused permits of this time may be sent together, at least one.
BURST_S = 0.5


def allowed(rate_per_s: float) -> float:
    return rate_per_s * (WINDOW_S + BURST_S) + 1


@pytest.mark.parametrize(
    ("hosts", "rate_per_s"), [(1, 3.4), (8, 3.4), (61, 0.5), (380, 3.0), (380, 200.0)]
)
def test_a_limit_is_kept_and_used_up(hosts: int, rate_per_s: float) -> None:
    """An equal share for each of 380 hosts is less than one request."""
    fleet = LimitSimulation(hosts, rate_per_s)
    fleet.run(10.0, 0.0)
    fleet.name_limit()
    fleet.run(40.0, demand_per_s=4 * rate_per_s + 10)
    assert largest_count(fleet.sends_s, WINDOW_S) <= allowed(rate_per_s)
    assert len(fleet.sends_s) >= 0.85 * 40.0 * rate_per_s - 1


@pytest.mark.parametrize("seed", range(10))
def test_a_limit_is_kept_while_hosts_change_owners(seed: int) -> None:
    """Two owners with the whole limit each would together send twice of it."""
    fleet = LimitSimulation(8, 20.0, seed)
    fleet.run(5.0, 0.0)
    fleet.name_limit()
    fleet.run(3.0, 100.0)
    for _ in range(40):
        host_id = fleet.rng.choice(sorted(fleet.hosts))
        host = fleet.hosts[host_id]
        match fleet.rng.randrange(5):
            case 0:
                host.owner = fleet.rng.choice(["h0", "h1", "h2"])
            case 1:
                host.stopped_until_s = fleet.clock.monotonic() + 3.0
            case 2:
                fleet.restart(host_id)
            case 3:
                owner = fleet.rng.choice(["h0", "h1", "h2"])
                for other in fleet.hosts.values():
                    other.owner = owner
            case 4:
                host.owner = host_id
        fleet.run(fleet.rng.uniform(0.1, 2.0), 100.0)
    assert largest_count(fleet.sends_s, WINDOW_S) <= allowed(20.0)


@pytest.mark.parametrize("aware", [True, False])
def test_hosts_that_change_their_owner_are_not_counted_twice(aware: bool) -> None:
    """The previous owner counts them until their next report is overdue."""
    fleet = LimitSimulation(8, 20.0)
    fleet.run(5.0, 0.0)
    fleet.name_limit()
    fleet.run(5.0, 200.0)
    fleet.aware = aware
    for host_id in sorted(fleet.hosts)[1:]:
        fleet.hosts[host_id].owner = "h7"
    # A response names the limit to a host that the new owner does not count.
    fleet.name_limit("h1")
    fleet.run(6.0, 200.0)
    assert largest_count(fleet.sends_s, WINDOW_S) <= allowed(20.0)


def test_hosts_that_change_owners_often_are_not_counted_by_both() -> None:
    """Both owners hear of such a host before they stop counting it."""
    fleet = LimitSimulation(8, 20.0)
    fleet.run(5.0, 0.0)
    fleet.name_limit()
    fleet.run(3.0, 100.0)
    for turn in range(20):
        for number, host in enumerate(fleet.hosts.values()):
            host.owner = "h0" if number < 2 or turn % 2 else "h1"
        fleet.run(1.5, 100.0)
    assert largest_count(fleet.sends_s, WINDOW_S) <= allowed(20.0)


def test_a_limit_is_used_up_again_after_the_owner_died() -> None:
    fleet = LimitSimulation(8, 5.0)
    fleet.run(5.0, 0.0)
    fleet.name_limit()
    fleet.run(5.0, 50.0)
    fleet.hosts["h0"].dead = True
    for host in fleet.hosts.values():
        host.owner = "h1"
    fleet.run(4.0, 50.0)
    fleet.sends_s.clear()
    fleet.run(20.0, 50.0)
    # The dead host still brings no share.
    assert len(fleet.sends_s) >= 0.85 * 20.0 * 5.0 * 7 / 8


@pytest.mark.parametrize("rate_per_s", [3.0, 50.0, 200.0])
def test_messages_do_not_grow_with_the_demand(rate_per_s: float) -> None:
    """Each refused request of 380 hosts would otherwise ask the owner."""
    fleet = LimitSimulation(380, rate_per_s)
    fleet.run(10.0, 0.0)
    fleet.name_limit()
    fleet.messages = 0
    fleet.run(20.0, 4000.0)
    reports = 20.0 * 380 / 2.0
    assert fleet.messages - reports <= 20.0 * 150


def test_an_owner_that_restarts_unnoticed_learns_the_limits_again() -> None:
    """Its hosts send only a digest of the limits while it knows the same."""
    fleet = LimitSimulation(4, 5.0)
    fleet.run(5.0, 0.0)
    fleet.name_limit()
    fleet.run(3.0, 50.0)
    fleet.restart("h0")
    fleet.run(3.0, 50.0)
    assert fleet.owners["h0"].limits_of(GROUP).limits() == (fleet.limit,)
    assert largest_count(fleet.sends_s, WINDOW_S) <= allowed(5.0)
