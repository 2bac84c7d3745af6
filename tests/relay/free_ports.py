"""Ports for processes that listen, outside of the range for outgoing ones.

An outgoing connection could use a port of that range before a host listens on
it. Each process takes its ports from a part of the range that it reserves as
long as it runs, so that neither another host of this process nor a test that
runs at the same time gets the same one.
"""

import functools
import itertools
import os
import socket
from collections.abc import Iterator

__all__ = ["free_port"]

# Below the range of ports that Linux uses for outgoing connections.
LISTENING_PORTS = (20_000, 32_000)
PORTS_PER_PROCESS = 400
PARTS = (LISTENING_PORTS[1] - LISTENING_PORTS[0]) // PORTS_PER_PROCESS


def free_port() -> int:
    """Return a free port of the part that this process has reserved."""
    _, ports = _reserved_part()
    while True:
        port = next(ports)
        with socket.socket() as sock:
            try:
                sock.bind(("127.0.0.1", port))
            except OSError:
                continue
        return port


@functools.cache
def _reserved_part() -> tuple[socket.socket, Iterator[int]]:
    """Reserve a part of the range; the socket on its first port keeps it."""
    for number in range(PARTS):
        part = (os.getpid() + number) % PARTS
        first = LISTENING_PORTS[0] + part * PORTS_PER_PROCESS
        guard = socket.socket()
        try:
            guard.bind(("127.0.0.1", first))
        except OSError:
            guard.close()
            continue
        ports = range(first + 1, first + PORTS_PER_PROCESS)
        return guard, itertools.cycle(ports)
    raise RuntimeError(f"all {PARTS} parts of the range of ports are reserved")
