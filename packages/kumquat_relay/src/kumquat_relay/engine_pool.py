"""A pool of keep-alive connections to engines.

A new connection occupies a slot of the engine for a moment, so idle
connections are reused, the most recently used first. An engine closes a
connection after its idle timeout and may do so without notice. A request that
must not be retried is therefore sent only on a new or recently used
connection.

Load pattern: hundreds of hosts use the same engine, which accepts a number of
connections from all of them together and resets those beyond it. Each host
keeps at most its share of them idle; if that is less than one, it keeps one
for a part of the usual time.

A faulty engine writes earlier answers again. Each copy fails the request that
is sent on its connection, so for some time after one was seen, a request to
that engine is the only one of its connection.
"""

import logging
import math

from kumquat_core.clock import Clock
from kumquat_core.log_events import log_event
from kumquat_core.settings import Address

from .engine_connection import EngineConnection
from .receive_budget import ReceiveBudget

__all__ = ["EnginePool"]

# Applies to engines that announce no idle timeout.
DEFAULT_IDLE_LIMIT_S = 4.0
# The engine's idle timer starts up to one response time before ours.
IDLE_MARGIN_S = 1.0
# A request sent on a connection that the engine has closed without notice is
# lost. This is shorter than the idle timeouts of known engines.
RECENT_USE_S = 1.5
# Connecting takes 3 ms; a host without power never responds. After this
# timeout a third of the shortest latency objective is left to try another
# engine.
CONNECT_TIMEOUT_S = 0.35
MAX_IDLE_PER_ADDRESS = 8
# Part of an engine's connections that may be idle. The others carry requests.
IDLE_CONNECTION_SHARE = 0.5
# Time without reuse after a response that was not accepted. A host then fails
# few requests in this time at an engine that copies each answer.
NO_REUSE_S = 30.0

logger = logging.getLogger(__name__)


class EnginePool:
    """Idle connections by address, in order of their last use.

    ``opened`` counts the connections opened so far.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._idle_by_address: dict[Address, list[EngineConnection]] = {}
        self._idle_share = math.inf
        self._no_reuse_until_by_address: dict[Address, float] = {}
        self._budget = ReceiveBudget()
        self.opened = 0

    def set_connection_limit(self, max_connections: int, hosts: int) -> None:
        """Share the connections that an engine accepts between the hosts.

        ``max_connections`` is 0 if engines state no limit.
        """
        self._idle_share = (
            IDLE_CONNECTION_SHARE * max_connections / max(1, hosts)
            if max_connections > 0
            else math.inf
        )

    async def acquire(
        self,
        address: Address,
        *,
        recently_used: bool,
        timeout_s: float,
        request_id: str = "",
    ) -> EngineConnection:
        """Return an idle connection or open one.

        With ``recently_used``, connections that were idle for more than
        ``RECENT_USE_S`` are not reused. One that has carried ``request_id``
        never is, nor one on which the server has not returned an id yet: the
        answer would not be accepted if it never does. Raises
        ``SendFailedError`` if no connection can be opened.
        """
        now_s = self._clock.monotonic()
        idle = self._idle_by_address.get(address, [])
        fallback: EngineConnection | None = None
        for index in reversed(range(len(idle))):
            connection = idle[index]
            idle_s = now_s - connection.idle_since_s
            if not connection.usable or idle_s > self._idle_limit_s(connection):
                del idle[index]
                self._discard(connection)
                continue
            if recently_used and idle_s > RECENT_USE_S:
                break
            if request_id and not _may_carry(connection, request_id):
                continue
            if not request_id and connection.returns_ids:
                # Requests cannot use the others, so these are used first.
                fallback = fallback or connection
                continue
            del idle[index]
            return connection
        # A copy on a connection behind it closes all idle ones.
        if fallback is not None and fallback.usable:
            idle.remove(fallback)
            return fallback
        return await self.open(address, timeout_s)

    async def acquire_unused(
        self, address: Address, timeout_s: float
    ) -> EngineConnection:
        """Return a connection that has carried no exchange.

        Raises ``SendFailedError`` if no connection can be opened.
        """
        idle = self._idle_by_address.get(address, [])
        for connection in idle:
            if connection.exchanges == 0 and self._is_recent(connection):
                idle.remove(connection)
                return connection
        return await self.open(address, timeout_s)

    async def open(
        self, address: Address, timeout_s: float = CONNECT_TIMEOUT_S
    ) -> EngineConnection:
        """Open a connection; raises ``SendFailedError`` on failure."""
        self.opened += 1
        return await EngineConnection.open(
            address, min(timeout_s, CONNECT_TIMEOUT_S), self._budget
        )

    def release(self, connection: EngineConnection) -> None:
        """Return a connection to the pool, or close it if not reusable."""
        if not connection.finish():
            return
        if self._is_reuse_suspended(connection.address):
            connection.abort()
            return
        idle = self._idle_by_address.setdefault(connection.address, [])
        if len(idle) >= self._max_idle():
            connection.abort()
            return
        connection.idle_since_s = self._clock.monotonic()
        idle.append(connection)

    def suspend_reuse(self, address: Address) -> None:
        """Reuse no connections to an engine that copies its answers."""
        until_s = self._clock.monotonic() + NO_REUSE_S
        self._no_reuse_until_by_address[address] = until_s
        self.close_idle(address)

    def close_idle(self, address: Address) -> None:
        """Close the idle connections to an address whose server changed."""
        for connection in self._idle_by_address.pop(address, []):
            connection.abort()

    def close_stale(self) -> None:
        """Close the connections whose idle limit has passed."""
        now_s = self._clock.monotonic()
        for address, until_s in list(self._no_reuse_until_by_address.items()):
            if now_s >= until_s:
                del self._no_reuse_until_by_address[address]
        for address, idle in list(self._idle_by_address.items()):
            kept = []
            for connection in idle:
                limit_s = self._idle_limit_s(connection)
                if connection.usable and now_s - connection.idle_since_s < limit_s:
                    kept.append(connection)
                else:
                    self._discard(connection)
            if kept and not self._is_reuse_suspended(address):
                self._idle_by_address[address] = kept
            else:
                self._idle_by_address.pop(address, None)

    def close(self) -> None:
        """Close all idle connections."""
        for address in list(self._idle_by_address):
            self.close_idle(address)

    def _discard(self, connection: EngineConnection) -> None:
        """Close an idle connection; suspend reuse if a copy arrived on it."""
        connection.abort()
        if connection.answered_idle:
            log_event(
                logger, "copy_on_idle_connection", address=connection.address.text
            )
            self.suspend_reuse(connection.address)

    def _is_recent(self, connection: EngineConnection) -> bool:
        """Return whether the server has hardly closed the connection yet."""
        idle_s = self._clock.monotonic() - connection.idle_since_s
        limit_s = min(RECENT_USE_S, self._idle_limit_s(connection))
        return connection.usable and idle_s <= limit_s

    def _is_reuse_suspended(self, address: Address) -> bool:
        until_s = self._no_reuse_until_by_address.get(address, -math.inf)
        return self._clock.monotonic() < until_s

    def _max_idle(self) -> int:
        """Return how many connections to an engine this host keeps idle."""
        return int(min(MAX_IDLE_PER_ADDRESS, max(1.0, self._idle_share)))

    def _idle_limit_s(self, connection: EngineConnection) -> float:
        """Return how long a connection may be idle before it is closed."""
        limit_s = DEFAULT_IDLE_LIMIT_S
        if connection.idle_limit_s is not None:
            limit_s = max(0.2, connection.idle_limit_s - IDLE_MARGIN_S)
        return limit_s * min(1.0, self._idle_share)


def _may_carry(connection: EngineConnection, request_id: str) -> bool:
    """Tell whether the answer to a request can be told from earlier ones."""
    if connection.exchanges == 0:
        return True
    return connection.returns_ids and not connection.has_carried(request_id)
