"""Rules of the relay that can be disabled one by one.

Disabling a rule shows what it contributes; ``docs/decisions.md`` gives the
measured effects. Production settings enable all of them. Rules that callers
rely on cannot be disabled.
"""

from dataclasses import dataclass

from kumquat_core.rule_set import SwitchedRules

__all__ = ["ALL_RULES", "RelayRules"]


@dataclass(frozen=True)
class RelayRules(SwitchedRules):
    """Which rules are enabled.

    ``read_ahead``: slots are granted once the prompts ahead are nearly done.
    ``relief``: decode engines prefill prompts that would be late otherwise.
    ``own_read_pacing``: streams recover before the next local prefill.
    ``late_reserve``: late requests leave some slots free.
    ``early_refusal``: requests that cannot begin in time are refused at once.
    ``return_times``: the retries of refused callers are spread over time.
    ``output_estimate``: the response length is learned from past responses.
    ``memory_plan``: memory use is forecast until the runs end.
    ``priority_reserve``: refused urgent requests reserve capacity.
    ``reservation``: engines confirm a slot when the owner may be wrong.
    ``role_changes``: engines are commanded to change their role.
    ``avoidance``: engines that failed get no requests for a while.
    ``failure_shares``: engines that fail more often than others come last.
    ``probes``: unreachable engines are probed by opening connections.
    ``owner_check``: an unresponsive owner is asked again on a new link.
    ``hand_on``: a host without the store relinquishes its queues.
    ``plain_choice``: plain requests go to the server of lowest latency.
    ``even_load``: many hosts with few servers follow shares of the owner.
    ``admitted_share``: hosts reject what overloaded plain servers cannot
    answer in time.
    ``resumption``: an interrupted stream is resumed at another engine.
    ``fetching``: the parts of a prompt are fetched if its result expired.
    ``server_limits``: all hosts together keep the rates that servers name.
    ``crash_quarantine``: requests with prompt parts under which engines crash
    are tried alone, then refused.
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
    even_load: bool = True
    admitted_share: bool = True
    resumption: bool = True
    fetching: bool = True
    server_limits: bool = True
    crash_quarantine: bool = True


ALL_RULES = RelayRules()
