"""Decides where hosts need a common view of the servers' load.

A host judges a server by its own requests there. Where many hosts share few
servers, it sees only a small part of each server's load.
"""

from enum import Enum

__all__ = ["MAX_SERVERS", "EvenLoadMode", "needs_common_view"]

# In smaller fleets each host carries a noticeable part of the load of every
# server, and its own view suffices.
MIN_HOSTS = 24
# Hosts for each server from which the common view takes effect.
MIN_HOSTS_PER_SERVER = 6
# Bounds the size of reports and replies; where more servers are used, hosts
# have their own.
MAX_SERVERS = 32


class EvenLoadMode(Enum):
    """Whether hosts follow the common view; ``AUTO`` decides by fleet size."""

    AUTO = "auto"
    ON = "on"
    OFF = "off"


def needs_common_view(
    hosts: int, servers: int, mode: EvenLoadMode = EvenLoadMode.AUTO
) -> bool:
    """Tell whether a host's own view of its servers says too little.

    The number of servers limits the common view in each mode.
    """
    if mode is EvenLoadMode.OFF or not 2 <= servers <= MAX_SERVERS:
        return False
    if mode is EvenLoadMode.ON:
        return True
    return hosts >= max(MIN_HOSTS, MIN_HOSTS_PER_SERVER * servers)
