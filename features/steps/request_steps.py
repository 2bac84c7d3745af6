"""Steps of at_most_once.feature: calls to hosts with injected faults.

``Given`` and ``When`` steps fill a script, which the first ``Then`` step runs
in virtual time.
"""

import asyncio

from behave import given, then, when

from kumquat_lab.request_harness import Fault, FaultKind, RequestHarness
from kumquat_lab.virtual_time import run_in_virtual_time

PATIENCE_S = 5.0


class Script:
    """Faults and timed events of a scenario, and the results of its calls."""

    def __init__(self, checks_fencing):
        self.checks_fencing = checks_fencing
        self.faults = []
        self.events = []
        self.results = []
        self.harness = None

    def add_call(self, host_id, at_s, body="b", patience_s=PATIENCE_S):
        index = len(self.results)
        self.results.append("not called")
        self.events.append((at_s, self._call, (index, host_id, body, patience_s)))

    def add_restart(self, host_id, at_s):
        self.events.append((at_s, self._restart, (host_id,)))

    def run(self):
        """Run the script unless it has already run."""
        if self.harness is None:
            run_in_virtual_time(self._main)

    async def _main(self, clock):
        self.harness = RequestHarness(clock, checks_fencing=self.checks_fencing)
        for host_id, fault in self.faults:
            self.harness.host(host_id).faults.append(fault)
        await asyncio.gather(*(self._at(*event) for event in self.events))
        await self.harness.drain_guards()

    async def _at(self, at_s, action, arguments):
        await asyncio.sleep(at_s)
        await action(*arguments)

    async def _call(self, index, host_id, body, patience_s):
        result = await self.harness.host(host_id).call("k", body, patience_s)
        self.results[index] = "none" if result is None else result.text

    async def _restart(self, host_id):
        self.harness.restart(host_id)


@given("a backend server that checks {kind}")
def step_server(context, kind):
    context.script = Script({"fences": True, "no fences": False}[kind])


@given('"{fault}" at "{point}" on host {host} for {seconds:g} s')
def step_fault(context, fault, point, host, seconds):
    if fault == "no fault":
        return
    context.script.faults.append((host, Fault(FaultKind(fault), point, seconds)))


@when("host {host} is called at {at:g} s")
def step_call(context, host, at):
    context.script.add_call(host, at)


@when("host {host} is called at {at:g} s with another body")
def step_call_other_body(context, host, at):
    context.script.add_call(host, at, body="other")


@when("host {host} is called at {at:g} s with {patience:g} s of patience")
def step_call_patience(context, host, at, patience):
    context.script.add_call(host, at, patience_s=patience)


@when("host {host} restarts at {at:g} s")
def step_restart(context, host, at):
    context.script.add_restart(host, at)


@then("the request ran {times:d} times")
def step_ran(context, times):
    context.script.run()
    ran = sum(context.script.harness.backend.runs_by_key.values())
    assert ran == times, f"ran {ran} times"


@then('the results are "{expected}"')
def step_results(context, expected):
    context.script.run()
    results = ", ".join(context.script.results)
    assert results == expected, results


@then('the record is "{state}"')
def step_record(context, state):
    context.script.run()
    actual = context.script.harness.recorded_state("k")
    assert actual == state, actual


@then("no invariant is violated")
def step_invariants(context):
    context.script.run()
    found = context.script.harness.violations()
    assert not found, found
