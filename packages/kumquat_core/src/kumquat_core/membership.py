"""Membership of entry hosts: the host list corrected by SWIM heartbeats.

A member is identified by host id and incarnation (process start in ms); a
sequence number orders the updates about it. Of two updates about a host, the
one with the higher (incarnation, sequence, state) wins, where dead outranks
suspect and suspect outranks alive. Only the member itself raises its
sequence, to refute a suspicion or a declaration of death. The result of a
merge is therefore independent of the order of arrival, and the views of
partitioned hosts converge after the partition.

Inside a region, each host pings one member in each period. Across regions, a
host pings one member of one other region every few periods, whatever the
number of members. A region is lost when three of its members do not respond,
twice in a row; the states of its members are then left as they are.

The class does no input or output; ``membership_driver`` of the entry host
sends the messages it returns.
"""

import logging
import math
import random
from collections import Counter, deque
from collections.abc import Callable, Sequence
from dataclasses import dataclass, replace
from enum import IntEnum, StrEnum

from .clock import Clock
from .configuration import ServerState
from .host_list_client import ListedHost
from .log_events import log_event
from .member_updates import MAX_UPDATES_PER_MESSAGE, UpdateQueue
from .peer_messages import Ack, MemberUpdate, Message, Ping, PingRequest
from .settings import Address, Options

__all__ = [
    "ChangeKind",
    "Liveness",
    "Member",
    "MemberState",
    "Membership",
    "MembershipChange",
    "MembershipCounters",
]

INDIRECT_PINGS = 2
LEAVE_PINGS = 3
REMOTE_PING_PERIODS = 10
RECONNECT_PERIODS = 4

# At 10% message loss, all three members of a probe fail to respond with a
# probability of 0.7%, which 380 hosts would see every few seconds.
REGION_MISS_LIMIT = 2

# A starting host pings each member of its region once, spread over periods so
# that the burst stays small with 380 hosts.
JOIN_PINGS_PER_PERIOD = 16

# A longer gap between two periods means that this process itself was paused,
# so the responses it missed say nothing about the other members.
OWN_PAUSE_PERIODS = 3.0

# A host that suspects a member pings it again in each period. Hosts that only
# received the suspicion wait longer, so that a late refutation still arrives
# before they declare the member dead.
INDIRECT_SUSPICION_FACTOR = 2.0

# Gossip ends long before this time. Without the retention, an older update
# could bring a removed member back.
DEAD_RETENTION_S = 120.0

logger = logging.getLogger(__name__)


class MemberState(IntEnum):
    """State of a member; a higher state wins at equal sequence."""

    LISTED = 0
    ALIVE = 1
    SUSPECT = 2
    DEAD = 3


_STATES_BY_NAME = {
    "alive": MemberState.ALIVE,
    "suspect": MemberState.SUSPECT,
    "dead": MemberState.DEAD,
}


class Liveness(StrEnum):
    """What is known of one process.

    A dead process was declared dead, but may only be paused or partitioned. A
    replaced one has certainly ended.
    """

    LIVE = "live"
    DEAD = "dead"
    REPLACED = "replaced"
    UNKNOWN = "unknown"


class ChangeKind(StrEnum):
    """Kind of a membership change."""

    JOINED = "joined"
    DIED = "died"


@dataclass(frozen=True)
class MembershipChange:
    """A process that joined or returned, or was declared dead."""

    kind: ChangeKind
    host_id: str
    incarnation: int


@dataclass
class MembershipCounters:
    """Totals since the start of the process."""

    pings: int = 0
    indirect_pings: int = 0
    suspicions: int = 0
    refutations: int = 0
    deaths: int = 0
    joins: int = 0
    own_pauses: int = 0


@dataclass(eq=False)
class Member:
    """One host as this host knows it.

    ``since_s`` is the time since which it has its state. ``pinged`` is true
    after the first ping to it, ``probed`` after a result is known.
    """

    update: MemberUpdate
    state: MemberState
    since_s: float
    listed: ListedHost | None = None
    pinged: bool = False
    probed: bool = False

    @property
    def live(self) -> bool:
        """Return whether the member counts as live, which a suspect does."""
        return self.state in (MemberState.ALIVE, MemberState.SUSPECT)

    @property
    def leaving(self) -> bool:
        """Return whether the host list marks the host as leaving."""
        return self.listed is not None and self.listed.state is ServerState.LEAVING

    @property
    def region(self) -> str:
        """Return the region of the host."""
        return self.update.region

    @property
    def address(self) -> Address:
        """Return the address on which the host listens for peers.

        A host that does not respond may have been replaced at another
        address, which appears first in the host list.
        """
        if self.listed is not None and not self.live:
            return Address(self.listed.ip, self.listed.peer_port)
        return Address(self.update.ip, self.update.peer_port)


class Membership:
    """The members known to one host and the rules that update them."""

    def __init__(
        self,
        own: MemberUpdate,
        clock: Clock,
        rng: random.Random,
        *,
        period_s: float,
        suspicion_s: float,
        ticket_position: Callable[[], int] = lambda: 0,
    ) -> None:
        self._own = own
        self._clock = clock
        self._rng = rng
        self._period_s = period_s
        self._suspicion_s = suspicion_s
        self._ticket_position = ticket_position
        self._update_queue = UpdateQueue()
        self._subscribers: list[Callable[[MembershipChange], None]] = []
        self._probe_round: list[str] = []
        self._priority_targets: deque[str] = deque()
        self._remote_probe_round: list[str] = []
        self._lost_regions: set[str] = set()
        self._misses_by_region: Counter[str] = Counter()
        self._live_ids_by_region: dict[str, list[str]] = {}
        self._expiring_ids: set[str] = set()
        self._failed_once_ids: set[str] = set()
        self._locally_suspected_ids: set[str] = set()
        self._host_list_applied = False
        self._period = 0
        self._last_period_s = clock.monotonic()
        self.members_by_id: dict[str, Member] = {}
        self.counters = MembershipCounters()
        self.superseded = False
        self._update_queue.put(own)

    @classmethod
    def from_config(
        cls,
        options: Options,
        incarnation: int,
        clock: Clock,
        ticket_position: Callable[[], int] = lambda: 0,
    ) -> "Membership":
        """Create a membership that knows only its own host."""
        own = MemberUpdate(
            host_id=options.host_id,
            incarnation=incarnation,
            sequence=0,
            state="alive",
            ip=options.peer_listen.ip,
            peer_port=options.peer_listen.port,
            failure_domain=options.failure_domain,
            region=options.region,
        )
        return cls(
            own,
            clock,
            random.Random(f"{options.seed}/{options.host_id}/{incarnation}"),
            period_s=options.timing.ping_period_s,
            suspicion_s=options.timing.suspicion_s,
            ticket_position=ticket_position,
        )

    # Queries

    @property
    def own(self) -> MemberUpdate:
        """Return the current update of this host about itself."""
        return self._own

    @property
    def initial_probes_done(self) -> bool:
        """Return whether every known host of the region was probed once.

        It is False before the first host list.
        """
        return self._host_list_applied and all(
            member.probed
            for member in self.members_by_id.values()
            if not self._is_remote(member)
        )

    @property
    def lost_regions(self) -> frozenset[str]:
        """Return the other regions from which no member responds."""
        return frozenset(self._lost_regions)

    def live_host_ids(self, region: str | None = None) -> list[str]:
        """Return the live hosts of a region, sorted; of its own by default.

        A lost region has no live hosts as far as this host knows.
        """
        region = region or self._own.region
        if region in self._lost_regions:
            return []
        live = set(self._live_members_of(region))
        if region == self._own.region and not self.superseded:
            live.add(self._own.host_id)
        return sorted(live)

    def counts_by_state(self) -> dict[str, int]:
        """Return the number of hosts in each state, this host included."""
        counts = Counter(m.state.name.lower() for m in self.members_by_id.values())
        counts["alive"] += 1
        return dict(counts)

    def owner_candidates(self) -> list[str]:
        """Return the live hosts of the region that are not leaving.

        If all of them are leaving, all are candidates.
        """
        live = self.live_host_ids()
        not_leaving = [host_id for host_id in live if not self._is_leaving(host_id)]
        return not_leaving or live

    @property
    def sees_majority(self) -> bool:
        """Return whether this host sees most hosts of its region as live.

        A partitioned host would otherwise regard all others as dead. Half of
        the hosts suffice if the lowest host id is among them, so that only one
        side of an even split has a majority. Of two hosts, one is enough.
        """
        listed = {
            host_id
            for host_id, member in self.members_by_id.items()
            if member.region == self._own.region
            and member.listed is not None
            and not member.leaving
        }
        live = {*self._live_members_of(self._own.region), self._own.host_id}
        known = listed | live
        if len(known) <= 2 or 2 * len(live) > len(known):
            return True
        return 2 * len(live) == len(known) and min(known) in live

    def liveness(self, host_id: str, incarnation: int) -> Liveness:
        """Return what is known of a process.

        A host that never responded and a newer process of a known host are
        unknown, not dead.
        """
        if host_id == self._own.host_id:
            known = self._own.incarnation
            state = MemberState.DEAD if self.superseded else MemberState.ALIVE
        elif host_id in self.members_by_id:
            known = self.members_by_id[host_id].update.incarnation
            state = self.members_by_id[host_id].state
        else:
            return Liveness.UNKNOWN
        if state is MemberState.LISTED or incarnation > known:
            return Liveness.UNKNOWN
        if incarnation < known:
            return Liveness.REPLACED
        if state is MemberState.DEAD:
            return Liveness.DEAD
        return Liveness.LIVE

    def is_live(self, host_id: str, incarnation: int) -> bool:
        """Return whether a process is known to be live."""
        return self.liveness(host_id, incarnation) is Liveness.LIVE

    def address_of(self, host_id: str) -> Address | None:
        """Return the peer address of a host, or None when unknown."""
        member = self.members_by_id.get(host_id)
        return None if member is None else member.address

    def subscribe(self, callback: Callable[[MembershipChange], None]) -> None:
        """Call ``callback`` at each change, in the task that detects it."""
        self._subscribers.append(callback)

    # Host list

    def apply_host_list(self, hosts: Sequence[ListedHost]) -> None:
        """Apply the host list of the platform, which lags behind.

        Listed hosts that are not known are added and pinged later. Live hosts
        that are no longer listed are pinged and stay while they respond.
        """
        self._host_list_applied = True
        listed_by_id = {host.host_id: host for host in hosts}
        listed_by_id.pop(self._own.host_id, None)
        for host_id, member in list(self.members_by_id.items()):
            member.listed = listed_by_id.get(host_id)
            if member.listed is None and member.state is MemberState.LISTED:
                del self.members_by_id[host_id]
            elif member.listed is None and member.live:
                self.schedule_probe(host_id)
        for host in hosts:
            if host.host_id not in self.members_by_id:
                self._add_listed(host)

    def _add_listed(self, host: ListedHost) -> None:
        """Add a member that is known only from the host list."""
        if host.host_id == self._own.host_id:
            return
        update = MemberUpdate(
            host_id=host.host_id,
            incarnation=0,
            sequence=0,
            state="alive",
            ip=host.ip,
            peer_port=host.peer_port,
            failure_domain=host.failure_domain,
            region=host.region,
        )
        self.members_by_id[host.host_id] = Member(
            update, MemberState.LISTED, self._clock.monotonic(), host
        )

    # Periods

    def next_pings(self) -> list[str]:
        """Start a period: expire states and return the members to ping."""
        now_s = self._clock.monotonic()
        self._detect_own_pause(now_s)
        self._period += 1
        self._expire_states(now_s)
        targets = [self._next_regional_target()]
        if self._period % RECONNECT_PERIODS == 0:
            targets.append(self._next_reconnect_target())
        if self._period % REMOTE_PING_PERIODS == 0:
            targets.append(self._next_remote_target())
        targets.extend(self._unpinged_ids()[:JOIN_PINGS_PER_PERIOD])
        chosen = list(dict.fromkeys(target for target in targets if target))
        for host_id in chosen:
            self.members_by_id[host_id].pinged = True
        self.counters.pings += len(chosen)
        return chosen

    def leave(self) -> list[tuple[str, Ping]]:
        """Declare this process dead; return the pings that announce it."""
        self.superseded = True
        self._own = replace(self._own, state="dead")
        self._update_queue.put(self._own)
        members = self._live_members_of(self._own.region)
        chosen = self._rng.sample(members, min(LEAVE_PINGS, len(members)))
        return [(host_id, self.ping_for(host_id)) for host_id in chosen]

    def mark_probed(self, target: str) -> None:
        """Record that the result of a probe of a member is known."""
        member = self.members_by_id.get(target)
        if member is not None:
            member.probed = True

    def schedule_probe(self, host_id: str) -> None:
        """Schedule a ping to a live member of the own region.

        Scheduled members come before the others, one in each period.
        """
        member = self.members_by_id.get(host_id)
        if member is None or not member.live or host_id in self._priority_targets:
            return
        if member.region == self._own.region:
            self._priority_targets.append(host_id)

    def ping_for(self, host_id: str) -> Ping:
        """Return the ping to send to a member."""
        return Ping(
            host_id=self._own.host_id,
            incarnation=self._own.incarnation,
            ticket_position=self._ticket_position(),
            updates=self._updates_for(host_id, introduce=True),
        )

    def indirect_ping_requests(self, target: str) -> list[tuple[str, Message]]:
        """Return the requests to send after a direct ping without response.

        Two members of the target's region are asked to ping it. For another
        region, this also distinguishes a lost host from a lost region.
        """
        member = self.members_by_id.get(target)
        if member is None or not member.live:
            return []
        helpers = [
            host_id
            for host_id in self._live_members_of(member.region)
            if host_id != target
        ]
        chosen = self._rng.sample(helpers, min(INDIRECT_PINGS, len(helpers)))
        self.counters.indirect_pings += len(chosen)
        return [(host_id, self._ping_request(host_id, target)) for host_id in chosen]

    def record_probe_failure(self, target: str, *, others_answered: bool) -> None:
        """Record that a target responded to neither direct nor indirect pings.

        ``others_answered`` tells whether any member responded to a request
        for an indirect ping. If none did, a host of another region is not
        suspected, since its whole region may be unreachable.
        """
        member = self.members_by_id.get(target)
        if member is None or not member.live:
            return
        if member.region != self._own.region and not others_answered:
            self._record_region_miss(member.region, target)
            return
        if member.state is MemberState.ALIVE:
            if self._needs_second_probe(target):
                return
            self.counters.suspicions += 1
            self._locally_suspected_ids.add(target)
            self._merge(replace(member.update, state="suspect"))
        if target not in self._priority_targets:
            self._priority_targets.append(target)

    def _needs_second_probe(self, target: str) -> bool:
        """Return whether a second probe has to fail before a suspicion.

        Many queued updates mean that messages are being lost. Gossip about
        suspicions that are refuted at once would then delay other updates.
        """
        if (
            len(self._update_queue) <= MAX_UPDATES_PER_MESSAGE
            or target in self._failed_once_ids
        ):
            self._failed_once_ids.discard(target)
            return False
        self._failed_once_ids.add(target)
        if target not in self._priority_targets:
            self._priority_targets.append(target)
        return True

    def declare_process_dead(self, host_id: str) -> None:
        """Declare a process dead because its address refuses connections.

        There is no suspicion time, which only distinguishes a death from lost
        messages. A process that is still running refutes the declaration.
        """
        member = self.members_by_id.get(host_id)
        if member is not None and member.live:
            self._merge(replace(member.update, state="dead"))

    # Messages

    def handle(self, message: Ping | PingRequest | Ack, sender: str) -> None:
        """Merge the updates of a message and record the contact."""
        for update in message.updates:
            self._merge(update, reporter=sender)
        if isinstance(message, Ack) and not message.reached:
            return
        if not isinstance(message, PingRequest):
            self._record_contact(message.host_id, message.incarnation)

    def ack_for(self, sender: str) -> Ack:
        """Return the ack to a ping of a member."""
        return Ack(
            host_id=self._own.host_id,
            incarnation=self._own.incarnation,
            ticket_position=self._ticket_position(),
            updates=self._updates_for(sender, introduce=False),
        )

    def indirect_ack_for(self, sender: str, target: str, *, reached: bool) -> Ack:
        """Return the ack to a request to ping ``target``."""
        member = self.members_by_id.get(target)
        return Ack(
            host_id=target,
            incarnation=0 if member is None else member.update.incarnation,
            ticket_position=self._ticket_position(),
            reached=reached and member is not None,
            updates=self._updates_for(sender, introduce=False),
        )

    # Rules

    def _merge(self, update: MemberUpdate, reporter: str = "") -> None:
        """Apply an update if it is newer than what is known of its host.

        ``reporter`` is the member that sent it. A suspicion of a member of
        another region is ignored.
        """
        state = _STATES_BY_NAME.get(update.state)
        if state is None:
            return
        if update.host_id == self._own.host_id:
            self._merge_own(update, state, reporter)
            return
        member = self.members_by_id.get(update.host_id)
        if member is None:
            self._merge_unknown(update, state)
            return
        if reporter and state is MemberState.SUSPECT and self._is_remote(member):
            return
        known = (member.update.incarnation, member.update.sequence, member.state)
        if (update.incarnation, update.sequence, state) > known:
            self._apply(member, update, state)

    def _merge_unknown(self, update: MemberUpdate, state: MemberState) -> None:
        """Add a host that is not listed yet, unless it is dead."""
        if state is MemberState.DEAD:
            return
        if state is MemberState.SUSPECT and update.region != self._own.region:
            state, update = MemberState.ALIVE, replace(update, state="alive")
        member = Member(
            replace(update, incarnation=0), MemberState.LISTED, self._clock.monotonic()
        )
        self.members_by_id[update.host_id] = member
        self._apply(member, update, state)

    def _apply(self, member: Member, update: MemberUpdate, state: MemberState) -> None:
        """Apply a newer update to a member and notify the subscribers."""
        before, was_live = member.update, member.live
        if member.state is MemberState.SUSPECT and state is MemberState.ALIVE:
            self.counters.refutations += 1
        member.update = update
        member.state = state
        member.since_s = self._clock.monotonic()
        member.pinged = member.probed = True
        is_new_process = update.incarnation != before.incarnation
        # Suspicions and their refutations are gossiped only in the region of
        # the member; other regions get joins and deaths.
        if not self._is_remote(member) or is_new_process or was_live != member.live:
            self._update_queue.put(update)
        self._live_ids_by_region.clear()
        if state > MemberState.ALIVE:
            self._expiring_ids.add(update.host_id)
        if state is not MemberState.SUSPECT:
            self._locally_suspected_ids.discard(update.host_id)
        if state is MemberState.SUSPECT:
            self._log("member_suspected", update)
        if was_live and (is_new_process or not member.live):
            self.counters.deaths += 1
            self._notify_subscribers(ChangeKind.DIED, before)
        if member.live and (is_new_process or not was_live):
            self.counters.joins += 1
            self._notify_subscribers(ChangeKind.JOINED, update)

    def _merge_own(
        self, update: MemberUpdate, state: MemberState, reporter: str
    ) -> None:
        """Handle an update about this host: refute it or be superseded."""
        if update.incarnation > self._own.incarnation:
            if not self.superseded:
                self._log("superseded_by_newer_process", update, logging.ERROR)
            self.superseded = True
            return
        if self.superseded:
            return
        if update.incarnation < self._own.incarnation:
            self._update_queue.put(self._own)
            return
        if state is MemberState.ALIVE:
            return
        if update.sequence < self._own.sequence:
            # It was refuted earlier; the reporter has not received that yet.
            self._update_queue.put(self._own)
            return
        self._own = replace(self._own, sequence=update.sequence + 1)
        self._update_queue.put(self._own)
        self._log("suspicion_refuted", self._own)
        self.schedule_probe(reporter)

    def _record_contact(self, host_id: str, incarnation: int) -> None:
        """Record that this process responded, so it is running.

        This does not end a suspicion: the suspect learns of it from the next
        message and refutes it for all members.
        """
        self._failed_once_ids.discard(host_id)
        member = self.members_by_id.get(host_id)
        if member is None:
            return
        if member.region != self._own.region:
            self._misses_by_region[member.region] = 0
            self._set_region_lost(member.region, lost=False)
        if incarnation > member.update.incarnation:
            address = member.address
            update = replace(
                member.update,
                incarnation=incarnation,
                sequence=0,
                state="alive",
                ip=address.ip,
                peer_port=address.port,
            )
            self._merge(update)

    def _expire_states(self, now_s: float) -> None:
        """Declare overdue suspects dead and remove old dead members."""
        timeout_s = self._suspicion_s * max(1.0, math.log10(self._region_size()))
        for host_id in list(self._expiring_ids):
            member = self.members_by_id.get(host_id)
            if member is None or member.state <= MemberState.ALIVE:
                self._expiring_ids.discard(host_id)
                continue
            age_s = now_s - member.since_s
            if host_id not in self._locally_suspected_ids:
                age_s /= INDIRECT_SUSPICION_FACTOR
            match member.state:
                case MemberState.SUSPECT if age_s >= timeout_s:
                    self._merge(replace(member.update, state="dead"))
                case MemberState.DEAD if now_s - member.since_s >= DEAD_RETENTION_S:
                    if member.listed is None:
                        del self.members_by_id[host_id]
                case _:
                    pass

    def _detect_own_pause(self, now_s: float) -> None:
        """Detect a pause of this process.

        Suspicions start again, and a suspicion of this host is refuted.
        """
        gap_s = now_s - self._last_period_s
        self._last_period_s = now_s
        if gap_s <= OWN_PAUSE_PERIODS * self._period_s:
            return
        self.counters.own_pauses += 1
        log_event(logger, "own_pause_noticed", gap_s=round(gap_s, 3))
        for member in self.members_by_id.values():
            if member.state is MemberState.SUSPECT:
                member.since_s = now_s
        # The others have suspected this process or declared it dead by now.
        if not self.superseded:
            self._own = replace(self._own, sequence=self._own.sequence + 1)
            self._update_queue.put(self._own)

    def _record_region_miss(self, region: str, target: str) -> None:
        """Count a probe of a region in which no member responded.

        The target is probed again in the next period, until the region is
        lost.
        """
        self._misses_by_region[region] += 1
        if self._misses_by_region[region] >= REGION_MISS_LIMIT:
            self._set_region_lost(region, lost=True)
        elif target not in self._priority_targets:
            self._priority_targets.append(target)

    def _set_region_lost(self, region: str, *, lost: bool) -> None:
        if lost == (region in self._lost_regions):
            return
        if lost:
            self._lost_regions.add(region)
        else:
            self._lost_regions.discard(region)
        event = "region_lost" if lost else "region_reached"
        log_event(logger, event, level=logging.WARNING, region=region)

    # Choice of targets

    def _next_regional_target(self) -> str | None:
        while self._priority_targets:
            host_id = self._priority_targets.popleft()
            if self._is_live_member(host_id):
                return host_id
        members = self._live_members_of(self._own.region)
        return self._next_in_round(self._probe_round, members)

    def _next_remote_target(self) -> str | None:
        members = [
            host_id
            for host_id, member in self.members_by_id.items()
            if member.region != self._own.region
            and (member.live or member.listed is not None)
        ]
        return self._next_in_round(self._remote_probe_round, members)

    def _next_reconnect_target(self) -> str | None:
        """Return a random listed member of the region that is not live."""
        members = [
            host_id
            for host_id, member in self.members_by_id.items()
            if not member.live
            and member.listed is not None
            and member.region == self._own.region
        ]
        return self._rng.choice(members) if members else None

    def _next_in_round(self, queue: list[str], members: list[str]) -> str | None:
        """Return the next member of a shuffled round over all members."""
        present = set(members)
        for _ in range(2):
            while queue:
                host_id = queue.pop()
                if host_id in present:
                    return host_id
            queue.extend(members)
            self._rng.shuffle(queue)
        return None

    def _unpinged_ids(self) -> list[str]:
        return [
            host_id
            for host_id, member in self.members_by_id.items()
            if not member.pinged and not self._is_remote(member)
        ]

    def _live_members_of(self, region: str) -> list[str]:
        """Return the live members of a region, without this host.

        The list is cached until a member changes, because a period needs it
        several times and changes are rare even with 380 members.
        """
        live = self._live_ids_by_region.get(region)
        if live is None:
            live = [
                host_id
                for host_id, member in self.members_by_id.items()
                if member.live and member.region == region
            ]
            self._live_ids_by_region[region] = live
        return live

    def _is_live_member(self, host_id: str) -> bool:
        member = self.members_by_id.get(host_id)
        return member is not None and member.live

    def _is_remote(self, member: Member) -> bool:
        return member.region != self._own.region

    def _is_leaving(self, host_id: str) -> bool:
        member = self.members_by_id.get(host_id)
        return member is not None and member.leaving

    def _region_size(self) -> int:
        return len(self._live_members_of(self._own.region)) + 1

    # Outgoing updates

    def _ping_request(self, helper: str, target: str) -> PingRequest:
        updates = self._updates_for(helper, introduce=False)
        return PingRequest(target, self._ticket_position(), updates)

    def _updates_for(
        self, receiver: str, *, introduce: bool
    ) -> tuple[MemberUpdate, ...]:
        """Return the updates of a message.

        An update that the receiver itself is suspect or dead is always
        included, because only the receiver can refute it.
        """
        priority_updates = [self._own] if introduce else []
        member = self.members_by_id.get(receiver)
        if member is not None and member.state > MemberState.ALIVE:
            priority_updates.append(member.update)
        return self._update_queue.next_batch(priority_updates, self._region_size())

    def _notify_subscribers(self, kind: ChangeKind, update: MemberUpdate) -> None:
        self._log(f"member_{kind.value}", update)
        change = MembershipChange(kind, update.host_id, update.incarnation)
        for subscriber in self._subscribers:
            subscriber(change)

    def _log(self, event: str, update: MemberUpdate, level: int = logging.INFO) -> None:
        log_event(
            logger,
            event,
            level=level,
            host=update.host_id,
            incarnation=update.incarnation,
            sequence=update.sequence,
            state=update.state,
        )
