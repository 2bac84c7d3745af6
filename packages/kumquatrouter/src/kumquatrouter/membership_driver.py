"""Sends the pings of ``Membership`` over the links to other hosts.

Each period starts the probes that ``Membership`` requests. Each probe runs in
a separate task, so that a slow peer delays no other probe. A probe lasts
three timeouts at most, one for the direct ping and two for the indirect
ones, which bounds the number of probes that overlap.
"""

import asyncio
import logging
from collections.abc import Callable
from typing import Protocol

from kumquat_core.clock import Clock
from kumquat_core.log_events import log_event
from kumquat_core.membership import Membership
from kumquat_core.peer_messages import Ack, Message, Ping, PingRequest
from kumquat_core.result_codes import RouterError
from kumquat_core.settings import Timing

from .peer_links import PeerRefusedError
from .supervisor import TaskService

__all__ = ["MembershipDriver", "PeerCaller"]

logger = logging.getLogger(__name__)


class PeerCaller(Protocol):
    """The call that the driver needs from the links to other hosts."""

    async def call(self, host_id: str, message: Message, timeout_s: float) -> Message:
        """Send a message and return its reply, or raise ``RouterError``."""


class MembershipDriver(TaskService):
    """Sends pings to other hosts and replies to theirs."""

    def __init__(
        self,
        membership: Membership,
        links: PeerCaller,
        timing: Timing,
        clock: Clock,
        on_ticket_position: Callable[[str, int], None] = lambda host_id, position: None,
    ) -> None:
        super().__init__()
        self._membership = membership
        self._links = links
        self._period_s = timing.ping_period_s
        self._timeout_s = timing.ping_timeout_s
        self._clock = clock
        self._on_ticket_position = on_ticket_position
        self._probes: set[asyncio.Task[None]] = set()

    async def run(self) -> None:
        """Start one period after another until cancelled."""
        try:
            while True:
                started_s = self._clock.monotonic()
                self.start_period()
                spent_s = self._clock.monotonic() - started_s
                await asyncio.sleep(max(0.0, self._period_s - spent_s))
        finally:
            for probe in self._probes:
                probe.cancel()

    def start_period(self) -> list["asyncio.Task[None]"]:
        """Start the probes of one period and return their tasks."""
        started = []
        for target in self._membership.next_pings():
            probe = asyncio.get_running_loop().create_task(self._run_probe(target))
            self._probes.add(probe)
            probe.add_done_callback(self._on_probe_done)
            started.append(probe)
        return started

    async def announce_leave(self) -> None:
        """Inform a few members that this process is about to end."""
        calls = self._membership.leave()
        await asyncio.gather(*(self._call(*call) for call in calls))

    async def handle(self, sender: str, message: Ping | PingRequest) -> Ack:
        """Return the ack; an indirect ping first pings its target."""
        self._membership.handle(message, sender)
        self._on_ticket_position(sender, message.ticket_position)
        if isinstance(message, Ping):
            return self._membership.ack_for(sender)
        reached = await self._ping(message.target)
        return self._membership.indirect_ack_for(
            sender, message.target, reached=reached
        )

    async def _run_probe(self, target: str) -> None:
        await self._probe(target)
        self._membership.mark_probed(target)

    async def _probe(self, target: str) -> None:
        """Ping a member directly, then through others; record a failure.

        No failure is recorded when this process was itself paused in between,
        since it may then have missed the replies.
        """
        pauses_before = self._membership.counters.own_pauses
        if await self._ping(target):
            return
        calls = self._membership.indirect_ping_requests(target)
        replies = await asyncio.gather(
            *(self._call(host_id, message) for host_id, message in calls)
        )
        acks = [reply for reply in replies if reply is not None]
        if any(ack.host_id == target and ack.reached for ack in acks):
            return
        if self._membership.counters.own_pauses != pauses_before:
            return
        self._membership.record_probe_failure(target, others_answered=bool(acks))

    async def _ping(self, target: str) -> bool:
        reply = await self._call(target, self._membership.ping_for(target))
        return reply is not None and reply.reached

    async def _call(self, host_id: str, message: Message) -> Ack | None:
        """Send a message and apply its ack; return None when there is none."""
        # The host that relays an indirect ping needs up to one timeout itself.
        factor = 2 if isinstance(message, PingRequest) else 1
        try:
            reply = await self._links.call(host_id, message, factor * self._timeout_s)
        except PeerRefusedError:
            self._membership.declare_process_dead(host_id)
            return None
        except RouterError:
            return None
        if not isinstance(reply, Ack):
            return None
        self._membership.handle(reply, host_id)
        self._on_ticket_position(host_id, reply.ticket_position)
        return reply

    def _on_probe_done(self, probe: "asyncio.Task[None]") -> None:
        self._probes.discard(probe)
        if not probe.cancelled() and probe.exception() is not None:
            log_event(
                logger,
                "membership_probe_failed",
                level=logging.ERROR,
                error=repr(probe.exception()),
            )
