"""Mechanisms of the relay that can be switched off.

Switching one off shows what it contributes; ``docs/decisions.md`` gives the
measured effects. Production settings leave all of them on. Rules that guard a
promise to callers have no switch.
"""

from dataclasses import dataclass

from kumquat_core.rule_set import SwitchedRules

__all__ = ["ALL_RULES", "RelayRules"]


@dataclass(frozen=True)
class RelayRules(SwitchedRules):
    """Which mechanisms of the relay are in force.

    ``read_ahead``: a place waits until the prompts ahead are nearly read.
    ``relief``: decode engines read prompts that no reader reads in time.
    ``own_read_pacing``: streams catch up before their engine reads again.
    ``late_reserve``: late requests leave some places free.
    ``early_refusal``: what cannot begin in time is refused on arrival.
    ``return_times``: refused callers return one after the other.
    ``output_estimate``: the length of answers is learned from past ones.
    ``memory_plan``: memory is planned until the ends of runs.
    ``priority_reserve``: room is kept for urgent requests that were refused.
    ``reservation``: a place is reserved where the owner may be wrong.
    ``role_changes``: engines are ordered to change their role.
    ``avoidance``: engines that fail get nothing for a while.
    ``failure_shares``: engines that fail more often than others come last.
    ``probes``: engines out of reach are tried by connections.
    ``owner_check``: a silent owner is asked again on a new link.
    ``hand_on``: a host without the store hands its queues on.
    ``plain_choice``: plain requests go to the quickest server.
    ``resumption``: a stream that broke goes on at another engine.
    ``fetching``: the parts of a prompt whose result lapsed are fetched.
    """

    read_ahead: bool = True
    relief: bool = True
    own_read_pacing: bool = True
    late_reserve: bool = True
    early_refusal: bool = True
    return_times: bool = True
    output_estimate: bool = True
    memory_plan: bool = True
    priority_reserve: bool = True
    reservation: bool = True
    role_changes: bool = True
    avoidance: bool = True
    failure_shares: bool = True
    probes: bool = True
    owner_check: bool = True
    hand_on: bool = True
    plain_choice: bool = True
    resumption: bool = True
    fetching: bool = True


ALL_RULES = RelayRules()
