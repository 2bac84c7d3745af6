"""Specification of the acceptance and distribution of tickets.

Two operators race with different ticket numbers for two objects. Hosts poll
the log, fetch from each other and write snapshots; a new host starts from the
snapshot, the log or a peer. The log may be truncated up to the snapshot. The
store may fail immediately after an acceptance, lose the response to a
transaction or apply it late; an outage may be temporary or permanent.

A host is modelled by the set of tickets that it has merged. The current
number of an object is the highest number of a merged ticket that touches it.
"""

from dataclasses import dataclass
from enum import StrEnum
from typing import Any, NamedTuple

from .model_checks import Specification, Step, Steps

__all__ = ["MUTANTS", "Outage", "TicketsModel", "tickets_specification"]

# The objects that each ticket number touches.
OBJECTS_BY_NUMBER = {1: frozenset("x"), 2: frozenset("xy"), 3: frozenset("y")}

# Each mutant breaks one rule; the checker must find the named violation.
MUTANTS = {
    "last_writer_wins": "nothing_reverts",
    "accepted_without_proof": "accepted_is_in_log",
    "head_not_checked": "positions_are_unique",
    "number_not_checked": "numbers_are_unique",
    "poll_by_number": "position_means_merged",
    "gap_ignored": "position_means_merged",
    "snapshot_overwritten": "snapshot_never_goes_back",
    "no_peer_fetch": "goal_stays_reachable",
}


class Operator(NamedTuple):
    """An operator's command: its ticket, next step and log position."""

    number: int
    step: str = "read"
    position: int = 0
    tries: int = 0


class Host(NamedTuple):
    """An entry host: its log position, merged tickets and snapshot write.

    ``current_numbers`` holds the current ticket number of each object by
    name. ``snapshot_read`` is the position of the snapshot that the host is
    about to replace, or -1.
    """

    position: int = 0
    merged: frozenset[int] = frozenset()
    current_numbers: tuple[tuple[str, int], ...] = ()
    snapshot_read: int = -1


class Snapshot(NamedTuple):
    """The snapshot in the object store."""

    position: int = 0
    merged: frozenset[int] = frozenset()


class State(NamedTuple):
    """State of the model.

    Log positions up to ``truncated`` are no longer readable. ``late`` holds
    delayed transactions; ``broken`` names a violated rule.
    """

    log: tuple[int, ...]
    numbers: frozenset[int]
    truncated: int
    late: frozenset[tuple[int, int]]
    operators: tuple[Operator, ...]
    hosts: tuple[Host, ...]
    snapshot: Snapshot
    store_up: bool
    faults_left: int
    broken: str


class Outage(StrEnum):
    """Whether the store may become unavailable, and whether it recovers."""

    NONE = "no outage"
    TEMPORARY = "passing outages"
    PERMANENT = "outage for good"


@dataclass(frozen=True)
class TicketsModel:
    """Bounds of the search, and the mutant whose rule is broken, if any.

    Two operators with the same number model a repeated command.
    """

    numbers: tuple[int, ...] = (2, 1)
    hosts: int = 2
    faults: int = 1
    outage: Outage = Outage.TEMPORARY
    mutant: str = ""

    def initial(self) -> State:
        """Return the state before the first ticket."""
        return State(
            log=(),
            numbers=frozenset(),
            truncated=0,
            late=frozenset(),
            operators=tuple(Operator(number) for number in self.numbers),
            hosts=(Host(),) * self.hosts,
            snapshot=Snapshot(),
            store_up=True,
            faults_left=self.faults,
            broken="",
        )

    def steps(self, values: Any) -> Steps:
        """Return all transitions of a state."""
        state = State(*values)
        if state.broken:
            return []
        found = self._store_steps(state)
        for index, operator in enumerate(state.operators):
            found += self._operator_steps(state, index, operator)
        for index, host in enumerate(state.hosts):
            found += self._host_steps(state, index, host)
        return found

    # The store.

    def _store_steps(self, state: State) -> Steps:
        found: Steps = []
        if state.store_up and self.outage is not Outage.NONE:
            found.append(
                Step("store becomes unavailable", state._replace(store_up=False))
            )
        if not state.store_up:
            if self.outage is Outage.TEMPORARY:
                found.append(Step("store recovers", state._replace(store_up=True)))
            return found
        for number, position in state.late:
            remaining = state._replace(late=state.late - {(number, position)})
            accepted = self._accept(remaining, number, position)
            found.append(Step(f"late transaction of {number}", accepted or remaining))
        readable = state.snapshot.position
        if readable > state.truncated:
            shortened = state._replace(truncated=readable)
            found.append(Step("log is truncated up to the snapshot", shortened))
        return found

    def _accept(self, state: State, number: int, position: int) -> State | None:
        """Return the state after a transaction, or None on a conflict."""
        if number in state.numbers and self.mutant != "number_not_checked":
            return None
        if position != len(state.log) + 1:
            if self.mutant == "head_not_checked":
                return state._replace(broken="position written twice")
            return None
        if number in state.log:
            return state._replace(broken="number accepted twice")
        return state._replace(
            log=(*state.log, number), numbers=state.numbers | {number}
        )

    # Operators.

    def _operator_steps(self, state: State, index: int, operator: Operator) -> Steps:
        label = f"operator {index} ({operator.number})"
        if operator.step == "accepted" or not state.store_up:
            return []
        if operator.step == "read":
            return [Step(f"{label} reads", self._read_head(state, index, operator))]
        return self._transact(state, index, operator, label)

    def _read_head(self, state: State, index: int, operator: Operator) -> State:
        is_known = operator.number in state.numbers
        if is_known and self.mutant != "number_not_checked":
            return _with_operator(state, index, operator._replace(step="accepted"))
        ready = operator._replace(step="write", position=len(state.log) + 1)
        return _with_operator(state, index, ready)

    def _transact(
        self, state: State, index: int, operator: Operator, label: str
    ) -> Steps:
        """Write the ticket; the request or response may be lost or delayed."""
        restarted = _with_operator(state, index, Operator(operator.number))
        accepted = self._accept(state, operator.number, operator.position)
        if accepted is None:
            return [Step(f"{label} has a version conflict", restarted)]
        done = Operator(operator.number, "accepted")
        found = [Step(f"{label} accepts", _with_operator(accepted, index, done))]
        if not state.faults_left:
            return found
        faults_left = state.faults_left - 1
        after = (
            done
            if self.mutant == "accepted_without_proof"
            else restarted.operators[index]
        )
        lost = _with_operator(state, index, after)._replace(faults_left=faults_left)
        written = _with_operator(accepted, index, after)
        write = (operator.number, operator.position)
        late = lost._replace(late=lost.late | {write})
        return [
            *found,
            Step(f"{label} loses the request", lost),
            Step(
                f"{label} loses the response", written._replace(faults_left=faults_left)
            ),
            Step(f"{label} has a late transaction", late),
        ]

    # Hosts.

    def _host_steps(self, state: State, index: int, host: Host) -> Steps:
        found: Steps = []
        if state.store_up:
            found += self._poll(state, index, host)
            found += self._load_snapshot(state, index, host)
            found += self._write_snapshot(state, index, host)
        if self.mutant == "no_peer_fetch":
            return found
        for peer_index, peer in enumerate(state.hosts):
            if peer.position > host.position:
                merged = self._merge(state, index, peer.merged, peer.position)
                found.append(
                    Step(f"host {index} fetches from host {peer_index}", merged)
                )
        return found

    def _poll(self, state: State, index: int, host: Host) -> Steps:
        position = host.position + 1
        if self.mutant == "gap_ignored":
            position = max(position, state.truncated + 1)
        if position > len(state.log) or position <= state.truncated:
            return []
        number = state.log[position - 1]
        merged = frozenset({number})
        if self.mutant == "poll_by_number" and number < max(host.merged, default=0):
            merged = frozenset()
        after = self._merge(state, index, merged, position)
        return [Step(f"host {index} polls position {position}", after)]

    def _load_snapshot(self, state: State, index: int, host: Host) -> Steps:
        snapshot = state.snapshot
        if snapshot.position <= host.position:
            return []
        after = self._merge(state, index, snapshot.merged, snapshot.position)
        return [Step(f"host {index} loads the snapshot", after)]

    def _write_snapshot(self, state: State, index: int, host: Host) -> Steps:
        """Read the position of the snapshot, then replace it conditionally."""
        if host.snapshot_read < 0:
            if host.position <= state.snapshot.position:
                return []
            read = host._replace(snapshot_read=state.snapshot.position)
            after = _with_host(state, index, read)
            return [Step(f"host {index} reads the snapshot's position", after)]
        written = _with_host(state, index, host._replace(snapshot_read=-1))
        unchanged = host.snapshot_read == state.snapshot.position
        if unchanged or self.mutant == "snapshot_overwritten":
            if host.position < state.snapshot.position:
                written = written._replace(broken="older snapshot written")
            snapshot = Snapshot(host.position, host.merged)
            written = written._replace(snapshot=snapshot)
        return [Step(f"host {index} writes the snapshot", written)]

    def _merge(
        self, state: State, index: int, numbers: frozenset[int], position: int
    ) -> State:
        """Merge tickets at a host and advance it to a position."""
        host = state.hosts[index]
        merged = host.merged | numbers
        current_numbers = _current_numbers(merged)
        if self.mutant == "last_writer_wins":
            current_numbers = dict(host.current_numbers)
            for number in sorted(numbers - host.merged):
                current_numbers |= dict.fromkeys(
                    sorted(OBJECTS_BY_NUMBER[number]), number
                )
        for name, before in host.current_numbers:
            if current_numbers[name] < before:
                state = state._replace(broken="a state reverted")
        after = Host(
            position, merged, tuple(sorted(current_numbers.items())), host.snapshot_read
        )
        return _with_host(state, index, after)


def _current_numbers(merged: frozenset[int]) -> dict[str, int]:
    """Return the highest merged ticket number of each object."""
    current_numbers: dict[str, int] = {}
    for number in sorted(merged):
        current_numbers |= dict.fromkeys(sorted(OBJECTS_BY_NUMBER[number]), number)
    return current_numbers


def _with_operator(state: State, index: int, operator: Operator) -> State:
    operators = state.operators
    return state._replace(
        operators=(*operators[:index], operator, *operators[index + 1 :])
    )


def _with_host(state: State, index: int, host: Host) -> State:
    hosts = state.hosts
    return state._replace(hosts=(*hosts[:index], host, *hosts[index + 1 :]))


def _accepted_is_in_log(values: dict[str, Any]) -> bool:
    return all(
        operator.step != "accepted" or operator.number in values["log"]
        for operator in values["operators"]
    )


def _position_means_merged(values: dict[str, Any]) -> bool:
    """Tell whether hosts and snapshot contain the log up to their position."""
    log = values["log"]
    holders = (*values["hosts"], values["snapshot"])
    return all(holder.merged == set(log[: holder.position]) for holder in holders)


def _hosts_converged(values: dict[str, Any]) -> bool:
    """Tell whether all hosts have the same position, without the store."""
    hosts = values["hosts"]
    highest = max(host.position for host in hosts)
    return all(host.position == highest for host in hosts)


def tickets_specification(
    model: TicketsModel, max_states: int = 200_000
) -> Specification:
    """Return the specification for the bounds of a model."""
    numbers = ", ".join(str(number) for number in model.numbers)
    name = (
        f"tickets {numbers}, {model.hosts} hosts, "
        f"{model.faults} store faults, {model.outage}"
    )

    def not_broken(reason: str) -> Any:
        return lambda values: values["broken"] != reason

    return Specification(
        name=name,
        fields=State._fields,
        initial=model.initial(),
        steps=model.steps,
        invariants={
            "accepted_is_in_log": _accepted_is_in_log,
            "positions_are_unique": not_broken("position written twice"),
            "numbers_are_unique": not_broken("number accepted twice"),
            "nothing_reverts": not_broken("a state reverted"),
            "snapshot_never_goes_back": not_broken("older snapshot written"),
            "position_means_merged": _position_means_merged,
        },
        goal=_hosts_converged,
        max_states=max_states,
    )
