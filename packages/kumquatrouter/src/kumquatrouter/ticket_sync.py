"""Keeps the current configuration up to date.

The ticket log is polled. Missing tickets are also fetched from a peer with a
higher log position, which works while the store is unavailable. One host at a
time writes the snapshot for new hosts: the owner of the snapshot's name by
rendezvous hashing. Two hosts that both consider themselves the owner do no
harm, because the write is conditional and an older snapshot never replaces a
newer one.
"""

import logging
import random
from collections.abc import Awaitable, Callable

from returns.result import Failure, Success

from kumquat_core.log_events import log_event
from kumquat_core.peer_messages import Message, TicketBatch, TicketFetch
from kumquat_core.rendezvous import owner_of
from kumquat_core.result_codes import ResultCode, RouterError
from kumquat_core.ticket_exchange import TicketTail, merge_batch
from kumquat_core.ticket_log import TicketLog
from kumquat_core.tickets import TicketStore

__all__ = ["TicketSync"]

SNAPSHOT_OWNERSHIP_ID = "ticket-snapshot"
FETCH_TIMEOUT_S = 2.0

# Limits the messages of one poll in an outage, whatever the number of hosts.
MAX_PEERS_ASKED = 3

# Limits one fetch; the next ping of a host with a higher log position starts
# another.
MAX_FETCH_ROUNDS = 50
MAX_LOGGED_PROBLEMS = 100

logger = logging.getLogger(__name__)

CallPeer = Callable[[str, Message, float], Awaitable[Message]]


class TicketSync:
    """Reads tickets from the log and from peers, and writes snapshots."""

    def __init__(
        self,
        host_id: str,
        store: TicketStore,
        log: TicketLog,
        call_peer: CallPeer,
        live_host_ids: Callable[[], list[str]],
        rng: random.Random,
    ) -> None:
        self._host_id = host_id
        self._store = store
        self._log = log
        self._call_peer = call_peer
        self._live_host_ids = live_host_ids
        self._rng = rng
        self._tail = TicketTail(store)
        self._fetching = False
        self._snapshot_position = 0
        self._logged_problems: set[str] = set()

    async def start(self) -> None:
        """Read the snapshot and the log, or fetch from a peer in an outage."""
        match await self._log.start(self._tail):
            case Failure(error):
                self._log_failure("ticket_start_failed", error)
                await self._fetch_from_any_peer()
        self._log_position("tickets_read")

    async def poll(self) -> None:
        """Merge new tickets of the log, or fetch from a peer in an outage."""
        match await self._log.catch_up(self._tail):
            case Success(True):
                self._log_position("tickets_merged")
            case Failure(error):
                self._log_failure("ticket_poll_failed", error)
                await self._fetch_from_any_peer()

    async def on_peer_position(self, host_id: str, position: int) -> None:
        """Fetch from a peer whose ping shows a higher log position."""
        if position > self._store.position:
            await self._fetch(host_id)

    def answer_fetch(self, message: TicketFetch) -> TicketBatch:
        """Return the tickets that a peer lacks, or a snapshot."""
        return self._tail.batch_after(message.after_position)

    async def write_snapshot(self) -> None:
        """Write a snapshot if this host owns it and has newer tickets."""
        position = self._store.position
        if position <= self._snapshot_position:
            return
        if owner_of(SNAPSHOT_OWNERSHIP_ID, self._live_host_ids()) != self._host_id:
            return
        match await self._log.write_snapshot(self._store):
            case Success(outcome):
                self._snapshot_position = position
                log_event(
                    logger,
                    "ticket_snapshot",
                    position=position,
                    outcome=outcome.value,
                )
            case Failure(error):
                self._log_failure("ticket_snapshot_failed", error)

    async def _fetch_from_any_peer(self) -> None:
        """Fetch from a few random peers until one has newer tickets."""
        peers = [item for item in self._live_host_ids() if item != self._host_id]
        self._rng.shuffle(peers)
        for host_id in peers[:MAX_PEERS_ASKED]:
            position = self._store.position
            await self._fetch(host_id)
            if self._store.position > position:
                return

    async def _fetch(self, host_id: str) -> None:
        """Fetch batches from a peer; does nothing during another fetch."""
        if self._fetching:
            return
        self._fetching = True
        try:
            for _ in range(MAX_FETCH_ROUNDS):
                if not await self._fetch_batch(host_id):
                    return
        finally:
            self._fetching = False

    async def _fetch_batch(self, host_id: str) -> bool:
        """Merge one batch; return whether the peer may have more."""
        message = TicketFetch(self._store.position)
        try:
            reply = await self._call_peer(host_id, message, FETCH_TIMEOUT_S)
        except RouterError as error:
            self._log_failure("ticket_fetch_failed", error, peer=host_id)
            return False
        if not isinstance(reply, TicketBatch):
            return False
        match merge_batch(self._tail, reply):
            case Success(True):
                self._log_position("tickets_fetched", peer=host_id)
                return self._store.position < reply.position
            case Failure(error):
                self._log_failure("ticket_batch_invalid", error, peer=host_id)
        return False

    def _log_position(self, event: str, peer: str | None = None) -> None:
        log_event(
            logger,
            event,
            position=self._store.position,
            number=self._store.number,
            peer=peer,
        )

    def _log_failure(
        self, event: str, error: RouterError, peer: str | None = None
    ) -> None:
        """Log a failure; one that is due to the same odd ticket only once."""
        if error.code is ResultCode.TICKET_INVALID:
            problem = f"{event} {peer} {self._store.position} {error.detail}"
            if problem in self._logged_problems:
                return
            if len(self._logged_problems) >= MAX_LOGGED_PROBLEMS:
                self._logged_problems.clear()
            self._logged_problems.add(problem)
        log_event(
            logger,
            event,
            level=logging.WARNING,
            code=error.code.value,
            detail=error.detail,
            peer=peer,
        )
