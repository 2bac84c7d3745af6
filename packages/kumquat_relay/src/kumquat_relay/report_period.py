"""How often hosts report to the owner of a service.

The owner processes the reports of all hosts. The more hosts there are, the
less often idle hosts report, so that the owner's work grows more slowly than
the fleet.
"""

__all__ = ["OWNERSHIP_IDLE_S", "REPORT_S", "idle_report_periods", "member_ttl_s"]

# Period of the reports; the loss of an owner is detected within two periods.
REPORT_S = 0.5
# Idle hosts report once in as many periods as there are groups of this size.
HOSTS_PER_REPORT_PERIOD = 32
# Four periods take 2 s; an owner that receives nothing for longer than that
# restarts its queue.
MAX_IDLE_REPORT_PERIODS = 4
# An owner that has heard of no host for this time begins anew. At least the
# longest interval between two reports of a live host.
OWNERSHIP_IDLE_S = MAX_IDLE_REPORT_PERIODS * REPORT_S


def idle_report_periods(hosts: int) -> int:
    """Return how many periods pass between two reports of an idle host."""
    return min(MAX_IDLE_REPORT_PERIODS, max(1, hosts // HOSTS_PER_REPORT_PERIOD))


def member_ttl_s(hosts: int) -> float:
    """Return how long an owner counts a host after its last report, in s.

    One lost report does not end it.
    """
    return (2 * idle_report_periods(hosts) + 1) * REPORT_S
