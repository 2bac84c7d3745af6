"""Guards against owners that change while the store is away."""

from kumquat_core.clock import ManualClock
from kumquat_relay.owner_choice import OwnerChoice

HOSTS = tuple(f"h{index}" for index in range(9))


def choice_of(host_id: str) -> OwnerChoice:
    return OwnerChoice(host_id, ManualClock(), lambda: dict.fromkeys(HOSTS, 1.0))


def test_the_owner_stays_when_the_store_is_away_for_all_hosts() -> None:
    """Six hosts owned the queue one after the other (hagestad trouble-3)."""
    choice = choice_of("h0")
    first = choice.first("s")
    asked = set()
    choice.set_outdated("h0", True)
    for _ in range(8):
        owner = choice.owner("s")
        asked.add(owner)
        choice.set_outdated(owner, True)
    assert choice.owner("s") == first
    assert len(asked - {"h0"}) <= 2


def test_hosts_cut_off_with_the_owner_follow_the_new_one() -> None:
    choice = choice_of("h0")
    first = choice.first("s")
    choice.set_outdated("h0", True)
    choice.set_outdated(first, True)
    assert choice.owner("s") not in (first, "h0")


def test_the_owner_is_asked_again_when_the_store_is_back() -> None:
    choice = choice_of("h0")
    first = choice.first("s")
    for host_id in ("h0", first, choice.owner("s")):
        choice.set_outdated(host_id, True)
    choice.set_outdated("h0", False)
    assert choice.owner("s") == first
    choice.set_outdated(first, True)
    assert choice.owner("s") != first
