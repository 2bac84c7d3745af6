"""Steps of membership.feature: members on a simulated network."""

from behave import given, then, when

from kumquat_core.membership import Liveness, Membership
from kumquat_lab.membership_costs import SimulatedNetwork, to_listed_host

SEED = 7
JOIN_S = 20


def other_members(context, host_id: str) -> list[Membership]:
    members = context.network.members_by_id
    return [m for name, m in members.items() if name != host_id]


def assert_state(members: list[Membership], host_id: str, incarnation: int, state: str):
    """Assert that all members see a process in the same state."""
    views = {m.own.host_id: m.liveness(host_id, incarnation) for m in members}
    assert set(views.values()) == {Liveness(state)}, views


def declared_deaths(context) -> int:
    """Return how often any member declared a process dead."""
    return sum(m.counters.deaths for m in context.network.members_by_id.values())


@given('{count:d} hosts in region "{region}" that know each other')
def start_hosts(context, count, region):
    context.network = SimulatedNetwork(SEED)
    for index in range(count):
        context.network.add(f"host-{index}", region)
    context.network.publish_host_list()
    context.network.run(JOIN_S)


@given('{count:d} hosts in region "{region}" that know the others')
def start_region(context, count, region):
    for index in range(count):
        context.network.add(f"{region}-{index}", region)
    context.network.publish_host_list()
    context.network.run(6 * JOIN_S)


@given('messages from "{origin}" to "{target}" are lost')
def block_one_way(context, origin, target):
    context.network.blocked_links.add((origin, target))


@given('messages from all hosts to "{target}" are lost')
def block_all_to(context, target):
    for host_id in context.network.members_by_id:
        context.network.blocked_links.add((host_id, target))


@given('the host list names a host "{host_id}" that does not respond')
def list_dead_host(context, host_id):
    network = context.network
    network.add(host_id, "pwani")
    context.listed = [to_listed_host(m) for m in network.members_by_id.values()]
    network.remove(host_id)
    network.publish_host_list(context.listed)


@given('the host list lacks the live host "{host_id}"')
def omit_from_list(context, host_id):
    listed = [host for host in context.listed if host.host_id != host_id]
    context.network.publish_host_list(listed)


@when('host "{host_id}" crashes')
def crash(context, host_id):
    context.network.remove(host_id)


@when('host "{host_id}" freezes')
def freeze(context, host_id):
    context.network.suspended.add(host_id)


@when('host "{host_id}" resumes')
def resume(context, host_id):
    context.network.suspended.discard(host_id)


@when('host "{host_id}" leaves')
def leave(context, host_id):
    network = context.network
    for target, ping in network.members_by_id[host_id].leave():
        network.members_by_id[target].handle(ping, host_id)
    network.remove(host_id)


@when('host "{host_id}" starts with incarnation {incarnation:d}')
def start_again(context, host_id, incarnation):
    context.network.add(host_id, "pwani", incarnation)
    context.network.publish_host_list()


@when('region "{region}" is partitioned')
def partition_region(context, region):
    members = context.network.members_by_id.values()
    inside = [m.own.host_id for m in members if m.own.region == region]
    outside = [m.own.host_id for m in members if m.own.region != region]
    for inner in inside:
        for outer in outside:
            context.network.blocked_links.update({(inner, outer), (outer, inner)})


@when("the partition ends")
def end_partition(context):
    context.network.blocked_links.clear()


@when("{seconds:g} seconds pass")
def pass_time(context, seconds):
    context.network.run(seconds)


@then('all other hosts consider "{host_id}" {state}')
def check_others(context, host_id, state):
    assert_state(other_members(context, host_id), host_id, 1, state)


@then('all hosts consider "{host_id}" {state}')
def check_all(context, host_id, state):
    assert_state(other_members(context, ""), host_id, 1, state)


@then('all other hosts consider incarnation {incarnation:d} of "{host_id}" {state}')
def check_others_incarnation(context, incarnation, host_id, state):
    assert_state(other_members(context, host_id), host_id, incarnation, state)


@then('all hosts consider incarnation {incarnation:d} of "{host_id}" {state}')
def check_all_incarnation(context, incarnation, host_id, state):
    assert_state(other_members(context, ""), host_id, incarnation, state)


@then("no host was declared dead")
def check_no_deaths(context):
    assert declared_deaths(context) == 0


@then('host "{host_id}" has increased its sequence number')
def check_sequence(context, host_id):
    assert context.network.members_by_id[host_id].own.sequence > 0


@then('host "{host_id}" sees no majority')
def check_minority(context, host_id):
    assert not context.network.members_by_id[host_id].sees_majority


@then("all hosts have finished their initial probes")
def check_initial_probes(context):
    assert all(m.initial_probes_done for m in context.network.members_by_id.values())


@then('hosts of "{region}" report region "{lost}" as lost')
def check_lost(context, region, lost):
    for member in context.network.members_by_id.values():
        if member.own.region == region:
            assert member.lost_regions == {lost}, member.lost_regions


@then("no region is lost")
def check_none_lost(context):
    assert not any(m.lost_regions for m in context.network.members_by_id.values())


@then("each region considers all its own hosts live")
def check_own_regions(context):
    members = context.network.members_by_id.values()
    for member in members:
        region = member.own.region
        expected = sorted(m.own.host_id for m in members if m.own.region == region)
        assert member.live_host_ids() == expected
