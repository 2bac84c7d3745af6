"""Closes a listener without resetting the connections that it holds.

Load pattern: a few hundred callers connect to a host that stops. The kernel
completes their connections and holds them until the event loop accepts them;
a busy loop leaves tens of them for a tenth of a second. Closing the listener
resets all of those, although their requests may have arrived.
"""

import asyncio
import logging
import os
import socket
from collections.abc import Callable

from .log_events import log_event

__all__ = ["close_listener"]

logger = logging.getLogger(__name__)

ACCEPT_STEPS = 2


async def close_listener(
    server: asyncio.AbstractServer, create_protocol: Callable[[], asyncio.Protocol]
) -> int:
    """Close a server and accept the connections that the kernel holds for it.

    Returns the number of these connections.
    """
    loop = asyncio.get_running_loop()
    for item in getattr(server, "sockets", ()):
        loop.remove_reader(item.fileno())
    # asyncio creates the transports of what it has accepted in the next step,
    # and can no longer do so when the server is closed. uvloop needs no step.
    for _ in range(ACCEPT_STEPS):
        await asyncio.sleep(0)
    # A second descriptor keeps the listener open while the loop gives up its
    # own; nothing but these lines runs between the last accept and its close.
    listeners = [_duplicate(item) for item in getattr(server, "sockets", ())]
    server.close()
    held = [connection for item in listeners for connection in _accept_all(item)]
    for connection in held:
        await loop.connect_accepted_socket(create_protocol, connection)
    return len(held)


def _duplicate(listener: socket.socket) -> socket.socket:
    duplicate = socket.socket(fileno=os.dup(listener.fileno()))
    duplicate.setblocking(False)
    return duplicate


def _accept_all(listener: socket.socket) -> list[socket.socket]:
    """Return the connections that are held, and close the listener."""
    accepted: list[socket.socket] = []
    with listener:
        while True:
            try:
                connection, _ = listener.accept()
            except BlockingIOError:
                return accepted
            except OSError as error:
                # Such as no descriptor for another; closing resets the others.
                log_event(
                    logger,
                    "held_connections_lost",
                    level=logging.WARNING,
                    error=repr(error),
                )
                return accepted
            connection.setblocking(False)
            accepted.append(connection)
