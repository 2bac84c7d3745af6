"""Specification of the record of a non-repeatable request.

Calls with the same idempotency key arrive at different hosts. Every
interleaving is explored, so a pause is any delay between two steps. The
environment may lose or delay the response to each write, lose a read, crash a
host at any step, declare any holder dead, delay the request to the backend
server, and lose the server's response. The numbers of lost or delayed store
responses and of crashes are bounded.

A holder's transition to a final state (``done``, ``cancelled``, ``unknown``)
is one atomic step on its own attempt, or a background step at any later time;
this covers lost and delayed writes of the final state.

Calls are interchangeable, so states that differ only in the numbering of the
calls are the same state. In a counterexample, the numbers may change between
steps.
"""

from dataclasses import dataclass
from typing import Any, NamedTuple

from .model_checks import Specification, Step, Steps

__all__ = [
    "MUTANTS",
    "RequestsModel",
    "is_allowed_transition",
    "requests_specification",
]

ABSENT, INTENT, DISPATCHED = "absent", "intent", "dispatched"
DONE, CANCELLED, UNKNOWN = "done", "cancelled", "unknown"

OK, NOT_RUN, OUTCOME_UNKNOWN = "ok", "not_run", "unknown"

ACCEPTED, FENCED = "accepted", "fenced"

# State transitions of a record within one attempt. A new attempt starts as an
# intent with the next fence. ``request_harness`` checks the implementation
# against the same table.
ATTEMPT_TRANSITIONS = frozenset(
    {
        (INTENT, DISPATCHED),
        (INTENT, CANCELLED),
        (DISPATCHED, DONE),
        (DISPATCHED, CANCELLED),
        (DISPATCHED, UNKNOWN),
        (UNKNOWN, DONE),
        (UNKNOWN, CANCELLED),
    }
)
ATTEMPT_START_STATES = frozenset({ABSENT, INTENT, CANCELLED})

# Each mutant breaks one rule; the checker must find the named violation.
MUTANTS = {
    "send_without_proof": "at_most_once",
    "unconditional_dispatch": "at_most_once",
    "trusts_missing_fence": "at_most_once",
    "fence_not_raised": "at_most_once",
    "seen_ignored": "cancelled_never_ran",
    "unknown_is_retried": "at_most_once",
    "reset_is_not_run": "not_run_is_true",
    "late_means_not_run": "not_run_is_true",
    "done_without_answer": "ok_means_ran",
}


class Record(NamedTuple):
    """The record: its state, the call that holds it, its fence and version."""

    state: str = ABSENT
    call: int = -1
    fence: int = 0
    version: int = 0


def is_allowed_transition(before: str, after: str, raised_fence: int) -> bool:
    """Tell whether the state transition of a record is permitted.

    Only a new attempt raises the fence, and only by one.
    """
    if raised_fence == 0:
        return (before, after) in ATTEMPT_TRANSITIONS
    return raised_fence == 1 and after == INTENT and before in ATTEMPT_START_STATES


class Call(NamedTuple):
    """A call: its next step, and the version and fence that it uses.

    ``final`` is the final state that a background step still has to write.
    """

    step: str = "read"
    version: int = 0
    fence: int = 0
    response: str = ""
    final: str = ""
    may_send: bool = True
    attempts: int = 0


class Server(NamedTuple):
    """The backend server; its executions and messages in transit, by call."""

    highest_fence: int
    runs: tuple[int, ...]
    requests: tuple[int, ...]
    responses: tuple[str, ...]


class State(NamedTuple):
    """State of the model; ``illegal_move`` marks a forbidden transition."""

    record: Record
    late_writes: frozenset[tuple[int, Record]]
    calls: tuple[Call, ...]
    server: Server
    faults_left: int
    crashes_left: int
    illegal_move: bool = False


@dataclass(frozen=True)
class RequestsModel:
    """Bounds of the search, and the mutant whose rule is broken, if any."""

    calls: int
    checks_fencing: bool
    faults: int
    crashes: int
    attempts: int = 1
    mutant: str = ""

    def initial(self) -> State:
        """Return the state before the first call."""
        nothing = (0,) * self.calls
        server = Server(0, nothing, nothing, ("",) * self.calls)
        calls = (Call(),) * self.calls
        return State(Record(), frozenset(), calls, server, self.faults, self.crashes)

    def steps(self, values: Any) -> Steps:
        """Return all transitions of a state."""
        state = State(*values)
        found = self._environment_steps(state)
        for index, call in enumerate(state.calls):
            found += self._call_steps(state, index, call)
        return [
            Step(label, _canonical(_with_transition_check(state.record, successor)))
            for label, successor in found
        ]

    # The environment.

    def _environment_steps(self, state: State) -> Steps:
        found: Steps = []
        for version, record in state.late_writes:
            if version == state.record.version:
                rest = state.late_writes - {(version, record)}
                successor = state._replace(record=record, late_writes=rest)
                found.append(Step("late write takes effect", successor))
        for index, fence in enumerate(state.server.requests):
            if fence:
                found.append(self._serve_request(state, index, fence))
        return found

    def _serve_request(self, state: State, index: int, fence: int) -> Step:
        """Run a request at the backend server, or refuse its stale fence."""
        server = state.server
        requests = _replaced(server.requests, index, 0)
        if self.checks_fencing and fence < server.highest_fence:
            responses = _replaced(server.responses, index, FENCED)
            server = server._replace(requests=requests, responses=responses)
            return Step(
                f"server refuses fence of call {index}", _with_server(state, server)
            )
        server = Server(
            max(fence, server.highest_fence),
            _replaced(server.runs, index, server.runs[index] + 1),
            requests,
            _replaced(server.responses, index, ACCEPTED),
        )
        return Step(f"server runs call {index}", _with_server(state, server))

    # The calls.

    def _call_steps(self, state: State, index: int, call: Call) -> Steps:
        found: Steps = []
        can_crash = call.step != "crashed" and (call.step != "answered" or call.final)
        if can_crash and state.crashes_left:
            crashed = Call("crashed", response=call.response)
            successor = _with_call(state, index, crashed)
            successor = successor._replace(crashes_left=state.crashes_left - 1)
            found.append(Step(f"host of call {index} crashes", successor))
        if call.final:
            found += self._finalize(state, index, call)
        handler = getattr(self, f"_on_{call.step}", None)
        if handler is not None:
            steps: Steps = handler(state, index, call)
            found += [Step(f"call {index}: {label}", after) for label, after in steps]
        return found

    def _finalize(self, state: State, index: int, call: Call) -> Steps:
        """Write the final state in the background."""
        finalized = call._replace(final="")
        record = self._final_record(state, index, call, call.final)
        successor = _with_call(state, index, finalized)
        if record is not None:
            successor = successor._replace(record=record)
        return [Step(f"call {index}: finalizes {call.final}", successor)]

    def _final_record(
        self, state: State, index: int, call: Call, final: str
    ) -> Record | None:
        """Return the record in a final state of the call's own attempt.

        Returns None when another attempt holds the record, or when the record
        has a final state that this one must not replace.
        """
        record = state.record
        if (record.call, record.fence) != (index, call.fence):
            return None
        if record.state in (DONE, final):
            return None
        if (record.state, final) == (CANCELLED, UNKNOWN):
            return None
        return Record(final, index, call.fence, record.version + 1)

    def _on_read(self, state: State, index: int, call: Call) -> Steps:
        record = state.record
        found: Steps = []
        lost = self._use_store_fault(state)
        if lost is not None:
            unavailable = NOT_RUN if call.may_send else OUTCOME_UNKNOWN
            found.append(
                Step("store is unavailable", _respond(lost, index, call, unavailable))
            )
        if record.state == DONE:
            found.append(Step("is done", _respond(state, index, call, OK)))
            return found
        may_retry = record.state in (ABSENT, CANCELLED) or (
            record.state == UNKNOWN and self.mutant == "unknown_is_retried"
        )
        if may_retry:
            found += self._start_attempt(state, index, call, "starts an attempt")
            found.append(Step("is late", _respond(state, index, call, NOT_RUN)))
            return found
        if record.state == UNKNOWN:
            response = _respond(state, index, call, OUTCOME_UNKNOWN)
            found.append(Step("is unknown", response))
            return found
        waited = _respond(state, index, call, OUTCOME_UNKNOWN)
        found.append(Step("waits until its deadline", waited))
        if record.state == INTENT:
            found += self._start_attempt(state, index, call, "replaces an intent")
        else:
            seen = call._replace(step="resolve", version=record.version)
            found.append(
                Step("considers the holder dead", _with_call(state, index, seen))
            )
        return found

    def _start_attempt(self, state: State, index: int, call: Call, label: str) -> Steps:
        if not call.may_send:
            return [Step(label, _respond(state, index, call, NOT_RUN))]
        if call.attempts == self.attempts:
            # The bound of the search; the call ends at its deadline.
            return []
        record = state.record
        started = call._replace(
            step="intent",
            version=record.version,
            fence=record.fence + 1,
            attempts=call.attempts + 1,
        )
        return [Step(label, _with_call(state, index, started))]

    def _on_intent(self, state: State, index: int, call: Call) -> Steps:
        record = Record(INTENT, index, call.fence, call.version + 1)
        return self._write(state, index, call, record, "dispatch")

    def _on_dispatch(self, state: State, index: int, call: Call) -> Steps:
        version = call.version
        if self.mutant == "unconditional_dispatch":
            version = state.record.version
        record = Record(DISPATCHED, index, call.fence, version + 1)
        steps = self._write(
            state, index, call._replace(version=version), record, "send"
        )
        late = _with_call(state, index, call._replace(step="cancel"))
        return [*steps, Step("is late before the dispatch", late)]

    def _on_send(self, state: State, index: int, call: Call) -> Steps:
        server = state.server
        requests = _replaced(server.requests, index, call.fence)
        sent = _with_call(state, index, call._replace(step="sent"))
        refused = _with_call(state, index, call._replace(step="cancel"))
        return [
            Step("sends", _with_server(sent, server._replace(requests=requests))),
            Step("is late or refused before any byte is sent", refused),
        ]

    def _on_sent(self, state: State, index: int, call: Call) -> Steps:
        found: Steps = []
        response = state.server.responses[index]
        if response == ACCEPTED or self.mutant == "done_without_answer":
            done = self._finish(state, index, call, DONE, OK)
            found += done
        if response == FENCED:
            fenced = _with_call(state, index, call._replace(step="fenced"))
            found.append(Step("is refused for its stale fence", fenced))
        if not call.response:
            late = NOT_RUN if self.mutant == "late_means_not_run" else OUTCOME_UNKNOWN
            answered = _with_call(state, index, call._replace(response=late))
            found.append(Step("responds at the deadline", answered))
        if self.mutant == "reset_is_not_run":
            found += self._on_cancel(state, index, call)
        else:
            found += self._finish(state, index, call, UNKNOWN, OUTCOME_UNKNOWN)
        return found

    def _on_cancel(self, state: State, index: int, call: Call) -> Steps:
        record = state.record
        if (record.call, record.fence) != (index, call.fence):
            again = _with_call(state, index, call._replace(step="read"))
            found = [Step("another attempt took over", again)]
            lost = self._use_store_fault(state)
            if lost is not None:
                response = _respond(lost, index, call, NOT_RUN, CANCELLED)
                found.append(Step("cancels later", response))
            return found
        return self._finish(state, index, call, CANCELLED, NOT_RUN)

    def _on_fenced(self, state: State, index: int, call: Call) -> Steps:
        record = state.record
        found: Steps = []
        lost = self._use_store_fault(state)
        if lost is not None:
            response = _respond(lost, index, call, OUTCOME_UNKNOWN, CANCELLED)
            found.append(Step("cancels later", response))
        if (record.call, record.fence) != (index, call.fence):
            again = call._replace(step="read", may_send=False)
            found.append(
                Step("another attempt took over", _with_call(state, index, again))
            )
            return found
        advanced = self._final_record(state, index, call, CANCELLED)
        answered = _respond(state, index, call, NOT_RUN)
        if advanced is not None:
            answered = answered._replace(record=advanced)
        return [*found, Step("cancels a fenced attempt", answered)]

    def _finish(
        self, state: State, index: int, call: Call, final: str, response: str
    ) -> Steps:
        """Respond, and write the final state now or in the background."""
        now = _respond(state, index, call, response)
        record = self._final_record(state, index, call, final)
        if record is not None:
            now = now._replace(record=record)
        found = [Step(f"records {final}", now)]
        lost = self._use_store_fault(state)
        if lost is not None:
            later = _respond(lost, index, call, response, final)
            found.append(Step(f"records {final} later", later))
        return found

    def _on_resolve(self, state: State, index: int, call: Call) -> Steps:
        """Choose the final state of an attempt whose holder seems dead."""
        fence = state.record.fence
        if state.record.version != call.version:
            again = _with_call(state, index, call._replace(step="read"))
            return [Step("the record has changed", again)]
        if not self.checks_fencing:
            trusts = self.mutant == "trusts_missing_fence"
            step = "write_cancelled" if trusts else "write_unknown"
            resolved = call._replace(step=step, fence=fence)
            return [Step("no fence to raise", _with_call(state, index, resolved))]
        server = state.server
        if self.mutant != "fence_not_raised":
            highest = max(server.highest_fence, fence + 1)
            server = server._replace(highest_fence=highest)
        raised = _with_server(state, server)
        seen = any(server.runs) and self.mutant != "seen_ignored"
        step = "write_unknown" if seen else "write_cancelled"
        resolved = call._replace(step=step, fence=fence)
        return [
            Step("raises the fence", _with_call(raised, index, resolved)),
            Step(
                "loses the response to the fence call",
                _respond(raised, index, call, OUTCOME_UNKNOWN),
            ),
        ]

    def _on_write_cancelled(self, state: State, index: int, call: Call) -> Steps:
        return self._write_final_for_dead_holder(state, index, call, CANCELLED)

    def _on_write_unknown(self, state: State, index: int, call: Call) -> Steps:
        return self._write_final_for_dead_holder(state, index, call, UNKNOWN)

    def _write_final_for_dead_holder(
        self, state: State, index: int, call: Call, final: str
    ) -> Steps:
        """Write the final state chosen for the attempt of a dead holder."""
        again = call._replace(step="read", version=0, fence=0)
        if state.record.version != call.version:
            return [Step("version conflict", _with_call(state, index, again))]
        holder = state.record.call
        record = Record(final, holder, call.fence, call.version + 1)
        found = self._write(state, index, again, record, "read", call.version)
        return [Step(f"{label} for the holder", after) for label, after in found]

    # Writes with lost and late responses.

    def _write(
        self,
        state: State,
        index: int,
        call: Call,
        record: Record,
        next_step: str,
        expect_version: int | None = None,
    ) -> Steps:
        """Write a record conditionally; the write may get lost or delayed."""
        expected = call.version if expect_version is None else expect_version
        is_own = next_step != "read"
        version = record.version if is_own else call.version
        advanced = call._replace(step=next_step, version=version)
        found: Steps = []
        matches = state.record.version == expected
        if matches:
            done = _with_call(state, index, advanced)._replace(record=record)
            found.append(Step(f"writes {record.state}", done))
        else:
            again = _with_call(state, index, call._replace(step="read"))
            found.append(Step("version conflict", again))
        lost = self._use_store_fault(state)
        if lost is None:
            return found
        step = f"{call.step}_back" if is_own else "read"
        uncertain = _with_call(lost, index, call._replace(step=step))
        found.append(Step(f"loses the request to write {record.state}", uncertain))
        if matches:
            written = uncertain._replace(record=record)
            found.append(Step(f"loses the response to {record.state}", written))
            late = uncertain.late_writes | {(expected, record)}
            delayed = uncertain._replace(late_writes=late)
            found.append(Step(f"write of {record.state} is delayed", delayed))
        return found

    def _on_intent_back(self, state: State, index: int, call: Call) -> Steps:
        return self._read_back(state, index, call, INTENT, "intent", "dispatch")

    def _on_dispatch_back(self, state: State, index: int, call: Call) -> Steps:
        return self._read_back(state, index, call, DISPATCHED, "dispatch", "send")

    def _read_back(
        self,
        state: State,
        index: int,
        call: Call,
        written: str,
        step: str,
        next_step: str,
    ) -> Steps:
        """Read the record to find out whether a write took effect."""
        found: Steps = []
        lost = self._use_store_fault(state)
        if lost is not None:
            final = CANCELLED if written == DISPATCHED else ""
            unavailable = _respond(lost, index, call, NOT_RUN, final)
            if self.mutant == "send_without_proof" and written == DISPATCHED:
                unavailable = _with_call(lost, index, call._replace(step=next_step))
            found.append(Step("read-back fails", unavailable))
        record = state.record
        if (record.state, record.call, record.fence) == (written, index, call.fence):
            advanced = call._replace(step=next_step, version=record.version)
            label = "read-back shows the own write"
        elif record.version == call.version:
            advanced = call._replace(step=step)
            label = "read-back shows no write"
        else:
            advanced = call._replace(step="read")
            label = "read-back shows another attempt"
        return [*found, Step(label, _with_call(state, index, advanced))]

    def _use_store_fault(self, state: State) -> State | None:
        """Return the state with one store fault used, or None without any."""
        if not state.faults_left:
            return None
        return state._replace(faults_left=state.faults_left - 1)


def _replaced(values: tuple[Any, ...], index: int, value: Any) -> tuple[Any, ...]:
    return (*values[:index], value, *values[index + 1 :])


def _with_call(state: State, index: int, call: Call) -> State:
    return state._replace(calls=_replaced(state.calls, index, call))


def _with_server(state: State, server: Server) -> State:
    return state._replace(server=server)


def _respond(
    state: State, index: int, call: Call, response: str, final: str = ""
) -> State:
    """Respond to the caller of a call, unless it already has a response."""
    answered = call._replace(
        step="answered", response=call.response or response, final=final
    )
    return _with_call(state, index, answered)


def _with_transition_check(before: Record, state: State) -> State:
    """Mark a state whose record made a forbidden transition."""
    after = state.record
    raised_fence = after.fence - before.fence
    if after == before or is_allowed_transition(
        before.state, after.state, raised_fence
    ):
        return state
    return state._replace(illegal_move=True)


def _canonical(state: State) -> State:
    """Remove details without effect on later steps, to merge equal states."""
    record = state.record
    late = frozenset(item for item in state.late_writes if item[0] >= record.version)
    calls = tuple(_canonical_call(call) for call in state.calls)
    responses = tuple(
        response if call.step == "sent" else ""
        for call, response in zip(calls, state.server.responses, strict=True)
    )
    server = state.server._replace(responses=responses)
    return _with_sorted_calls(
        state._replace(late_writes=late, calls=calls, server=server)
    )


def _with_sorted_calls(state: State) -> State:
    """Number the calls in a canonical order, as they are interchangeable."""
    server = state.server
    late_by_call: dict[int, list[tuple[int, Record]]] = {}
    for version, record in state.late_writes:
        anonymous = (version, record._replace(call=-1))
        late_by_call.setdefault(record.call, []).append(anonymous)

    def signature(index: int) -> Any:
        return (
            state.calls[index],
            server.runs[index],
            server.requests[index],
            server.responses[index],
            state.record.call == index,
            sorted(late_by_call.get(index, [])),
        )

    order = sorted(range(len(state.calls)), key=signature)
    if order == list(range(len(order))):
        return state
    number_of = {old: new for new, old in enumerate(order)} | {-1: -1}

    def renumbered(record: Record) -> Record:
        return record._replace(call=number_of[record.call])

    return state._replace(
        record=renumbered(state.record),
        late_writes=frozenset(
            (version, renumbered(record)) for version, record in state.late_writes
        ),
        calls=_permuted(state.calls, order),
        server=server._replace(
            runs=_permuted(server.runs, order),
            requests=_permuted(server.requests, order),
            responses=_permuted(server.responses, order),
        ),
    )


def _permuted(values: tuple[Any, ...], order: list[int]) -> tuple[Any, ...]:
    return tuple(values[old] for old in order)


def _canonical_call(call: Call) -> Call:
    if call.step == "crashed" or (call.step == "answered" and not call.final):
        return Call(call.step, response=call.response)
    if call.step == "read":
        return call._replace(version=0, fence=0)
    if call.step in ("send", "sent", "cancel", "fenced", "answered"):
        # These steps identify their attempt by its fence alone.
        return call._replace(version=0)
    return call


def _runs_at_most_once(values: dict[str, Any]) -> bool:
    runs: tuple[int, ...] = values["server"].runs
    return sum(runs) <= 1


def _not_run_is_true(values: dict[str, Any]) -> bool:
    runs = values["server"].runs
    return not any(
        call.response == NOT_RUN and runs[index]
        for index, call in enumerate(values["calls"])
    )


def _cancelled_never_ran(values: dict[str, Any]) -> bool:
    is_cancelled: bool = values["record"].state == CANCELLED
    return not is_cancelled or not any(values["server"].runs)


def _ok_means_ran(values: dict[str, Any]) -> bool:
    answered = any(call.response == OK for call in values["calls"])
    return not answered or any(values["server"].runs)


def requests_specification(
    model: RequestsModel, max_states: int = 200_000
) -> Specification:
    """Return the specification for the bounds of a model."""
    kind = "fencing" if model.checks_fencing else "no fencing"
    name = (
        f"requests, {kind}, {model.calls} calls of {model.attempts} attempts, "
        f"{model.faults} store faults, {model.crashes} crashes"
    )
    return Specification(
        name=name,
        fields=State._fields,
        initial=model.initial(),
        steps=model.steps,
        invariants={
            "at_most_once": _runs_at_most_once,
            "not_run_is_true": _not_run_is_true,
            "cancelled_never_ran": _cancelled_never_ran,
            "ok_means_ran": _ok_means_ran,
            "record_moves_by_the_rules": lambda values: not values["illegal_move"],
        },
        max_states=max_states,
    )
