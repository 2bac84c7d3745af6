"""Specification of the record of a non-repeatable request.

Calls with one idempotency key arrive at different hosts. Every interleaving
is explored, so a pause is any delay between two steps. The adversary may
lose or delay the answer of each write, lose a read, crash a host at any
step, take any holder for dead, delay the request on its way to the backend
server, and lose the server's answer. The number of lost and delayed store
answers and of crashes is bounded.

The final moves of a holder (``done``, ``cancelled``, ``unknown``) are one
atomic step on its own attempt, or a background step at any later time; this
covers their lost and delayed writes.

Calls are interchangeable, so states that differ only in the numbering of the
calls are one state. In a counterexample the numbers may change between steps.
"""

from dataclasses import dataclass
from typing import Any, NamedTuple

from .model_checks import Specification, Step, Steps

__all__ = ["MUTANTS", "RequestsModel", "is_allowed_move", "requests_specification"]

ABSENT, INTENT, DISPATCHED = "absent", "intent", "dispatched"
DONE, CANCELLED, UNKNOWN = "done", "cancelled", "unknown"

OK, NOT_RUN, OUTCOME_UNKNOWN = "ok", "not_run", "unknown"

ACCEPTED, FENCED = "accepted", "fenced"

# Moves of a record within one attempt. A new attempt starts as an intent with
# the next fence. The oracle of ``request_world`` holds the code to the same
# table.
MOVES_OF_AN_ATTEMPT = frozenset(
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
STARTS_OF_AN_ATTEMPT = frozenset({ABSENT, INTENT, CANCELLED})

# Each mutant breaks one rule of the protocol and must be refuted.
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
    """The record: state, call that holds it, fence and version."""

    state: str = ABSENT
    call: int = -1
    fence: int = 0
    version: int = 0


def is_allowed_move(before: str, after: str, raised_fence: int) -> bool:
    """Tell whether a record may change so; a new attempt raises the fence."""
    if raised_fence == 0:
        return (before, after) in MOVES_OF_AN_ATTEMPT
    return raised_fence == 1 and after == INTENT and before in STARTS_OF_AN_ATTEMPT


class Call(NamedTuple):
    """A call: its next step, the version and fence it works with.

    ``final`` is the state that a background step still has to record.
    """

    step: str = "read"
    version: int = 0
    fence: int = 0
    answer: str = ""
    final: str = ""
    may_send: bool = True
    attempts: int = 0


class Server(NamedTuple):
    """The backend server and the network to it, by call."""

    highest_fence: int
    runs: tuple[int, ...]
    requests: tuple[int, ...]
    answers: tuple[str, ...]


class State(NamedTuple):
    """State of the world."""

    record: Record
    late_writes: frozenset[tuple[int, Record]]
    calls: tuple[Call, ...]
    server: Server
    faults_left: int
    crashes_left: int
    illegal_move: bool = False


@dataclass(frozen=True)
class RequestsModel:
    """Bounds of the exploration, and the rule that a mutant breaks."""

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
            Step(label, _normal(_judged(state.record, successor)))
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
                found.append(self._serve(state, index, fence))
        return found

    def _serve(self, state: State, index: int, fence: int) -> Step:
        server = state.server
        requests = _changed(server.requests, index, 0)
        if self.checks_fencing and fence < server.highest_fence:
            answers = _changed(server.answers, index, FENCED)
            server = server._replace(requests=requests, answers=answers)
            return Step(
                f"server refuses fence of call {index}", _serving(state, server)
            )
        server = Server(
            max(fence, server.highest_fence),
            _changed(server.runs, index, server.runs[index] + 1),
            requests,
            _changed(server.answers, index, ACCEPTED),
        )
        return Step(f"server runs call {index}", _serving(state, server))

    # The calls.

    def _call_steps(self, state: State, index: int, call: Call) -> Steps:
        found: Steps = []
        can_crash = call.step != "crashed" and (call.step != "answered" or call.final)
        if can_crash and state.crashes_left:
            crashed = Call("crashed", answer=call.answer)
            successor = _with_call(state, index, crashed)
            successor = successor._replace(crashes_left=state.crashes_left - 1)
            found.append(Step(f"host of call {index} crashes", successor))
        if call.final:
            found += self._settle(state, index, call)
        handler = getattr(self, f"_on_{call.step}", None)
        if handler is not None:
            steps: Steps = handler(state, index, call)
            found += [Step(f"call {index}: {label}", after) for label, after in steps]
        return found

    def _settle(self, state: State, index: int, call: Call) -> Steps:
        settled = call._replace(final="")
        record = self._own_final(state, index, call, call.final)
        successor = _with_call(state, index, settled)
        if record is not None:
            successor = successor._replace(record=record)
        return [Step(f"call {index}: settles {call.final}", successor)]

    def _own_final(
        self, state: State, index: int, call: Call, final: str
    ) -> Record | None:
        """Return the record after a final move of the own attempt."""
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
        lost = self._lose(state)
        if lost is not None:
            down = NOT_RUN if call.may_send else OUTCOME_UNKNOWN
            found.append(Step("store is down", _answer(lost, index, call, down)))
        if record.state == DONE:
            found.append(Step("is done", _answer(state, index, call, OK)))
            return found
        may_retry = record.state in (ABSENT, CANCELLED) or (
            record.state == UNKNOWN and self.mutant == "unknown_is_retried"
        )
        if may_retry:
            found += self._start(state, index, call, "starts an attempt")
            found.append(Step("is late", _answer(state, index, call, NOT_RUN)))
            return found
        if record.state == UNKNOWN:
            answer = _answer(state, index, call, OUTCOME_UNKNOWN)
            found.append(Step("is unknown", answer))
            return found
        waited = _answer(state, index, call, OUTCOME_UNKNOWN)
        found.append(Step("waits in vain", waited))
        if record.state == INTENT:
            found += self._start(state, index, call, "replaces an intent")
        else:
            seen = call._replace(step="resolve", version=record.version)
            found.append(
                Step("takes the holder for dead", _with_call(state, index, seen))
            )
        return found

    def _start(self, state: State, index: int, call: Call, label: str) -> Steps:
        if not call.may_send:
            return [Step(label, _answer(state, index, call, NOT_RUN))]
        if call.attempts == self.attempts:
            # The bound of the exploration; the call ends at its deadline.
            return []
        record = state.record
        begun = call._replace(
            step="intent",
            version=record.version,
            fence=record.fence + 1,
            attempts=call.attempts + 1,
        )
        return [Step(label, _with_call(state, index, begun))]

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
        requests = _changed(server.requests, index, call.fence)
        sent = _with_call(state, index, call._replace(step="sent"))
        refused = _with_call(state, index, call._replace(step="cancel"))
        return [
            Step("sends", _serving(sent, server._replace(requests=requests))),
            Step("is late or refused before a byte is sent", refused),
        ]

    def _on_sent(self, state: State, index: int, call: Call) -> Steps:
        found: Steps = []
        answer = state.server.answers[index]
        if answer == ACCEPTED or self.mutant == "done_without_answer":
            done = self._finish(state, index, call, DONE, OK)
            found += done
        if answer == FENCED:
            fenced = _with_call(state, index, call._replace(step="fenced"))
            found.append(Step("gets a stale fence", fenced))
        if not call.answer:
            late = NOT_RUN if self.mutant == "late_means_not_run" else OUTCOME_UNKNOWN
            answered = _with_call(state, index, call._replace(answer=late))
            found.append(Step("answers at the deadline", answered))
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
            lost = self._lose(state)
            if lost is not None:
                answer = _answer(lost, index, call, NOT_RUN, CANCELLED)
                found.append(Step("cancels later", answer))
            return found
        return self._finish(state, index, call, CANCELLED, NOT_RUN)

    def _on_fenced(self, state: State, index: int, call: Call) -> Steps:
        record = state.record
        found: Steps = []
        lost = self._lose(state)
        if lost is not None:
            answer = _answer(lost, index, call, OUTCOME_UNKNOWN, CANCELLED)
            found.append(Step("cancels later", answer))
        if (record.call, record.fence) != (index, call.fence):
            again = call._replace(step="read", may_send=False)
            found.append(
                Step("another attempt took over", _with_call(state, index, again))
            )
            return found
        moved = self._own_final(state, index, call, CANCELLED)
        answered = _answer(state, index, call, NOT_RUN)
        if moved is not None:
            answered = answered._replace(record=moved)
        return [*found, Step("cancels a fenced attempt", answered)]

    def _finish(
        self, state: State, index: int, call: Call, final: str, answer: str
    ) -> Steps:
        """Answer, and record the final state now or later."""
        now = _answer(state, index, call, answer)
        record = self._own_final(state, index, call, final)
        if record is not None:
            now = now._replace(record=record)
        found = [Step(f"records {final}", now)]
        lost = self._lose(state)
        if lost is not None:
            later = _answer(lost, index, call, answer, final)
            found.append(Step(f"records {final} later", later))
        return found

    def _on_resolve(self, state: State, index: int, call: Call) -> Steps:
        """Settle another call's attempt whose holder seems to be dead."""
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
        raised = _serving(state, server)
        seen = any(server.runs) and self.mutant != "seen_ignored"
        step = "write_unknown" if seen else "write_cancelled"
        resolved = call._replace(step=step, fence=fence)
        return [
            Step("raises the fence", _with_call(raised, index, resolved)),
            Step(
                "loses the answer of the fence call",
                _answer(raised, index, call, OUTCOME_UNKNOWN),
            ),
        ]

    def _on_write_cancelled(self, state: State, index: int, call: Call) -> Steps:
        return self._write_for_dead(state, index, call, CANCELLED)

    def _on_write_unknown(self, state: State, index: int, call: Call) -> Steps:
        return self._write_for_dead(state, index, call, UNKNOWN)

    def _write_for_dead(
        self, state: State, index: int, call: Call, final: str
    ) -> Steps:
        again = call._replace(step="read", version=0, fence=0)
        if state.record.version != call.version:
            return [Step("lost the race", _with_call(state, index, again))]
        holder = state.record.call
        record = Record(final, holder, call.fence, call.version + 1)
        found = self._write(state, index, again, record, "read", call.version)
        return [Step(f"{label} for the holder", after) for label, after in found]

    # Writes with lost and late answers.

    def _write(
        self,
        state: State,
        index: int,
        call: Call,
        record: Record,
        next_step: str,
        expect_version: int | None = None,
    ) -> Steps:
        expected = call.version if expect_version is None else expect_version
        is_own = next_step != "read"
        version = record.version if is_own else call.version
        moved = call._replace(step=next_step, version=version)
        found: Steps = []
        matches = state.record.version == expected
        if matches:
            done = _with_call(state, index, moved)._replace(record=record)
            found.append(Step(f"writes {record.state}", done))
        else:
            again = _with_call(state, index, call._replace(step="read"))
            found.append(Step("lost the race", again))
        lost = self._lose(state)
        if lost is None:
            return found
        step = f"{call.step}_back" if is_own else "read"
        unsure = _with_call(lost, index, call._replace(step=step))
        found.append(Step(f"loses the request of {record.state}", unsure))
        if matches:
            written = unsure._replace(record=record)
            found.append(Step(f"loses the answer of {record.state}", written))
            late = unsure.late_writes | {(expected, record)}
            delayed = unsure._replace(late_writes=late)
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
        found: Steps = []
        lost = self._lose(state)
        if lost is not None:
            final = CANCELLED if written == DISPATCHED else ""
            down = _answer(lost, index, call, NOT_RUN, final)
            if self.mutant == "send_without_proof" and written == DISPATCHED:
                down = _with_call(lost, index, call._replace(step=next_step))
            found.append(Step("read-back fails", down))
        record = state.record
        if (record.state, record.call, record.fence) == (written, index, call.fence):
            moved = call._replace(step=next_step, version=record.version)
            label = "read-back shows the own write"
        elif record.version == call.version:
            moved = call._replace(step=step)
            label = "read-back shows no write"
        else:
            moved = call._replace(step="read")
            label = "read-back shows another attempt"
        return [*found, Step(label, _with_call(state, index, moved))]

    def _lose(self, state: State) -> State | None:
        if not state.faults_left:
            return None
        return state._replace(faults_left=state.faults_left - 1)


def _changed(values: tuple[Any, ...], index: int, value: Any) -> tuple[Any, ...]:
    return (*values[:index], value, *values[index + 1 :])


def _with_call(state: State, index: int, call: Call) -> State:
    return state._replace(calls=_changed(state.calls, index, call))


def _serving(state: State, server: Server) -> State:
    return state._replace(server=server)


def _answer(
    state: State, index: int, call: Call, answer: str, final: str = ""
) -> State:
    answered = call._replace(step="answered", answer=call.answer or answer, final=final)
    return _with_call(state, index, answered)


def _judged(before: Record, state: State) -> State:
    """Mark a state whose record changed against the rules."""
    after = state.record
    raised_fence = after.fence - before.fence
    if after == before or is_allowed_move(before.state, after.state, raised_fence):
        return state
    return state._replace(illegal_move=True)


def _normal(state: State) -> State:
    """Drop what no longer matters, so that equal futures are one state."""
    record = state.record
    late = frozenset(item for item in state.late_writes if item[0] >= record.version)
    calls = tuple(_normal_call(call) for call in state.calls)
    answers = tuple(
        answer if call.step == "sent" else ""
        for call, answer in zip(calls, state.server.answers, strict=True)
    )
    server = state.server._replace(answers=answers)
    return _sorted(state._replace(late_writes=late, calls=calls, server=server))


def _sorted(state: State) -> State:
    """Number the calls in a fixed order, because they are interchangeable."""
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
            server.answers[index],
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
            answers=_permuted(server.answers, order),
        ),
    )


def _permuted(values: tuple[Any, ...], order: list[int]) -> tuple[Any, ...]:
    return tuple(values[old] for old in order)


def _normal_call(call: Call) -> Call:
    if call.step == "crashed" or (call.step == "answered" and not call.final):
        return Call(call.step, answer=call.answer)
    if call.step == "read":
        return call._replace(version=0, fence=0)
    if call.step in ("send", "sent", "cancel", "fenced", "answered"):
        # These steps name their attempt by its fence alone.
        return call._replace(version=0)
    return call


def _at_most_once(values: dict[str, Any]) -> bool:
    runs: tuple[int, ...] = values["server"].runs
    return sum(runs) <= 1


def _not_run_is_true(values: dict[str, Any]) -> bool:
    runs = values["server"].runs
    return not any(
        call.answer == NOT_RUN and runs[index]
        for index, call in enumerate(values["calls"])
    )


def _cancelled_never_ran(values: dict[str, Any]) -> bool:
    is_cancelled: bool = values["record"].state == CANCELLED
    return not is_cancelled or not any(values["server"].runs)


def _ok_means_ran(values: dict[str, Any]) -> bool:
    answered = any(call.answer == OK for call in values["calls"])
    return not answered or any(values["server"].runs)


def requests_specification(
    model: RequestsModel, max_states: int = 200_000
) -> Specification:
    """Return the specification of a model with its bounds."""
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
            "at_most_once": _at_most_once,
            "not_run_is_true": _not_run_is_true,
            "cancelled_never_ran": _cancelled_never_ran,
            "ok_means_ran": _ok_means_ran,
            "record_moves_by_the_rules": lambda values: not values["illegal_move"],
        },
        max_states=max_states,
    )
