"""Specification of engine memory: grant, import, release and sweep.

Each entry host runs one request. Two hosts may both consider themselves the
owner of the shard, and each owner has its own ledger. Messages to the engine
and to an owner may arrive late, after their sender crashed. Entry hosts and
owners may crash; an owner that takes over has an empty ledger and reads a
current report of the engine first.

Invariants: the engine never allocates more memory than it has, and no request
of a live host loses its memory. Goal: from every state, the memory of all
requests that ended and the ledgers of all owners can still be freed.
"""

from dataclasses import dataclass
from typing import Any, NamedTuple

from .model_checks import Specification, Step, Steps

__all__ = ["MUTANTS", "MemoryModel", "memory_specification"]

# Each mutant breaks one rule; the checker must find the named violation.
MUTANTS = {
    "engine_accepts_all": "engine_never_overfull",
    "sweep_unknown": "live_requests_keep_memory",
    "no_sweep": "goal_stays_reachable",
    "sweep_once": "goal_stays_reachable",
    "delete_not_retried": "goal_stays_reachable",
    "cancel_before_import": "goal_stays_reachable",
    "grant_kept_for_dead": "goal_stays_reachable",
}


class Request(NamedTuple):
    """A request and the state of its entry host.

    Steps: idle, asked, granted, importing, holding, ending, ended.
    """

    step: str = "idle"
    owner: int = 0
    alive: bool = True
    known_dead: bool = False
    swept: bool = False


class Owner(NamedTuple):
    """An owner's ledger; ``reconciled`` after reading the engine's report."""

    alive: bool = True
    reconciled: bool = True
    granted: frozenset[int] = frozenset()


class State(NamedTuple):
    """State of the model.

    ``imports`` and ``releases`` are messages in transit, by request.
    ``broken`` names a violated rule.
    """

    requests: tuple[Request, ...]
    owners: tuple[Owner, ...]
    held: frozenset[int]
    imports: frozenset[int]
    releases: frozenset[int]
    crashes_left: int
    faults_left: int
    broken: str


@dataclass(frozen=True)
class MemoryModel:
    """Bounds of the search, and the mutant whose rule is broken, if any."""

    requests: int = 2
    owners: int = 2
    pieces: int = 1
    crashes: int = 2
    faults: int = 1
    mutant: str = ""

    def initial(self) -> State:
        """Return the state before the first request."""
        return State(
            requests=(Request(),) * self.requests,
            owners=(Owner(),) * self.owners,
            held=frozenset(),
            imports=frozenset(),
            releases=frozenset(),
            crashes_left=self.crashes,
            faults_left=self.faults,
            broken="",
        )

    def steps(self, values: Any) -> Steps:
        """Return all transitions of a state."""
        state = State(*values)
        if state.broken:
            return []
        found = self._engine_steps(state)
        for index, request in enumerate(state.requests):
            if request.alive:
                found += self._request_steps(state, index, request)
            elif not request.known_dead:
                known = _with_request(state, index, request._replace(known_dead=True))
                found.append(Step(f"host {index} is declared dead", known))
        for index, owner in enumerate(state.owners):
            found += self._owner_steps(state, index, owner)
        return found

    # The engine.

    def _engine_steps(self, state: State) -> Steps:
        found: Steps = []
        for index in sorted(state.imports):
            found.append(self._import(state, index))
        for index in sorted(state.releases):
            arrived = state._replace(releases=state.releases - {index})
            found.append(
                Step(f"release {index} arrives", _without_grant(arrived, index))
            )
            if state.faults_left:
                lost = arrived._replace(faults_left=state.faults_left - 1)
                found.append(Step(f"release {index} is lost", lost))
        return found

    def _import(self, state: State, index: int) -> Step:
        """Deliver an import, which the engine accepts if it has memory."""
        request = state.requests[index]
        arrived = state._replace(imports=state.imports - {index})
        fits = len(state.held) < self.pieces or self.mutant == "engine_accepts_all"
        is_waiting = request.alive and request.step == "importing"
        if not fits:
            if is_waiting:
                ending = request._replace(step="ending")
                arrived = _with_request(arrived, index, ending)
            return Step(f"engine has no memory for {index}", arrived)
        arrived = arrived._replace(held=state.held | {index})
        if is_waiting:
            holding = request._replace(step="holding")
            arrived = _with_request(arrived, index, holding)
        return Step(f"engine holds memory for {index}", arrived)

    # Entry hosts.

    def _request_steps(self, state: State, index: int, request: Request) -> Steps:
        found: Steps = []
        if state.crashes_left and request.step not in ("idle", "ended"):
            crashed = _with_request(state, index, request._replace(alive=False))
            crashed = crashed._replace(crashes_left=state.crashes_left - 1)
            found.append(Step(f"host {index} crashes", crashed))
        match request.step:
            case "idle":
                for owner_index in range(self.owners):
                    asked = request._replace(step="asked", owner=owner_index)
                    label = f"host {index} asks owner {owner_index}"
                    found.append(Step(label, _with_request(state, index, asked)))
            case "asked":
                ended = _with_request(state, index, request._replace(step="ending"))
                found.append(Step(f"caller {index} disconnects", ended))
            case "granted":
                sent = _with_request(state, index, request._replace(step="importing"))
                sent = sent._replace(imports=state.imports | {index})
                found.append(Step(f"host {index} imports", sent))
                ended = _with_request(state, index, request._replace(step="ending"))
                found.append(Step(f"caller {index} disconnects", ended))
            case "importing" | "holding":
                ended = _with_request(state, index, request._replace(step="ending"))
                found.append(Step(f"request {index} ends", ended))
            case "ending":
                found += self._end_request(state, index, request)
        return found

    def _end_request(self, state: State, index: int, request: Request) -> Steps:
        """Cancel at the engine until it responds, then release the grant.

        The cancellation is complete only when an import in transit has been
        answered or has timed out at the engine.
        """
        ended = _with_request(state, index, request._replace(step="ended"))
        ended = ended._replace(releases=state.releases | {index})
        if self.mutant == "delete_not_retried":
            return [Step(f"cancellation of {index} is lost", ended)]
        if index in state.imports and self.mutant != "cancel_before_import":
            return []
        freed = ended._replace(held=state.held - {index})
        return [Step(f"host {index} cancels at the engine", freed)]

    # Owners.

    def _owner_steps(self, state: State, index: int, owner: Owner) -> Steps:
        if not owner.alive:
            started = _with_owner(state, index, Owner(reconciled=False))
            return [Step(f"owner {index} is replaced", started)]
        found: Steps = []
        if state.crashes_left:
            crashed = _with_owner(state, index, Owner(alive=False))
            crashed = crashed._replace(crashes_left=state.crashes_left - 1)
            found.append(Step(f"owner {index} crashes", crashed))
        if not owner.reconciled:
            read = owner._replace(reconciled=True, granted=owner.granted | state.held)
            found.append(
                Step(f"owner {index} reads a report", _with_owner(state, index, read))
            )
            return found
        for request_index, request in enumerate(state.requests):
            found += self._grant_or_sweep(state, index, owner, request_index, request)
        found += self._reconcile(state, index, owner)
        return found

    def _grant_or_sweep(
        self, state: State, index: int, owner: Owner, number: int, request: Request
    ) -> Steps:
        """Grant a waiting request, or sweep a request of a dead host."""
        found: Steps = []
        is_asking = request.step == "asked" and request.owner == index
        if is_asking and len(owner.granted) < self.pieces:
            granted = owner._replace(granted=owner.granted | {number})
            after = _with_owner(state, index, granted)
            if request.alive:
                after = _with_request(after, number, request._replace(step="granted"))
            found.append(Step(f"owner {index} grants {number}", after))
        is_held = number in state.held
        may_sweep = request.known_dead and not (
            self.mutant == "no_sweep" or (self.mutant == "sweep_once" and request.swept)
        )
        if self.mutant == "sweep_unknown" and number not in owner.granted:
            may_sweep = True
        if may_sweep and (is_held or not request.swept):
            if is_held and request.alive and request.step == "holding":
                broken = state._replace(broken="memory of a live request freed")
                return [*found, Step(f"owner {index} sweeps {number}", broken)]
            swept = _with_request(state, number, request._replace(swept=True))
            swept = swept._replace(held=state.held - {number})
            found.append(Step(f"owner {index} sweeps {number}", swept))
        return found

    def _reconcile(self, state: State, index: int, owner: Owner) -> Steps:
        """Free the grants of dead hosts and of requests that have ended.

        A grant that is missing from the engine's report is checked with its
        live host, which may not have started the import yet.
        """
        found: Steps = []
        for number in sorted(owner.granted):
            request = state.requests[number]
            is_dead = request.known_dead and self.mutant != "grant_kept_for_dead"
            has_ended = request.alive and request.step == "ended"
            if number in state.held or not (is_dead or has_ended):
                continue
            freed = owner._replace(granted=owner.granted - {number})
            found.append(
                Step(
                    f"owner {index} frees the grant of {number}",
                    _with_owner(state, index, freed),
                )
            )
        return found


def _without_grant(state: State, number: int) -> State:
    """Remove the grant of a request from its owner's ledger."""
    owner_index = state.requests[number].owner
    owner = state.owners[owner_index]
    freed = owner._replace(granted=owner.granted - {number})
    return _with_owner(state, owner_index, freed)


def _with_request(state: State, index: int, request: Request) -> State:
    requests = state.requests
    return state._replace(requests=(*requests[:index], request, *requests[index + 1 :]))


def _with_owner(state: State, index: int, owner: Owner) -> State:
    owners = state.owners
    return state._replace(owners=(*owners[:index], owner, *owners[index + 1 :]))


def _nothing_is_held(values: dict[str, Any]) -> bool:
    ledgers = [owner.granted for owner in values["owners"]]
    return not values["held"] and not any(ledgers) and not values["imports"]


def memory_specification(
    model: MemoryModel, max_states: int = 200_000
) -> Specification:
    """Return the specification for the bounds of a model."""
    name = (
        f"memory, {model.requests} requests, {model.owners} owners, "
        f"{model.pieces} pieces, {model.crashes} crashes, {model.faults} lost releases"
    )

    def never_overfull(values: dict[str, Any]) -> bool:
        return len(values["held"]) <= model.pieces

    return Specification(
        name=name,
        fields=State._fields,
        initial=model.initial(),
        steps=model.steps,
        invariants={
            "engine_never_overfull": never_overfull,
            "live_requests_keep_memory": lambda values: not values["broken"],
        },
        goal=_nothing_is_held,
        max_states=max_states,
    )
