"""Steps of leaving.feature: plain calls through ``PlainPath``."""

import asyncio
import random
from types import MappingProxyType, SimpleNamespace

from behave import given, then, when

from kumquat_core.backend_client import BackendResponse
from kumquat_core.clock import ManualClock
from kumquat_core.configuration import (
    BackendServer,
    Configuration,
    ServerState,
    Service,
    ServiceKind,
)
from kumquat_core.request_ids import RequestIdGenerator
from kumquat_core.result_codes import Execution, RouterError
from kumquatrouter.plain_path import PlainPath, PlainRequest
from kumquatrouter.request_observer import RequestObserver

SERVICE = Service("orders", ServiceKind.PLAIN, True, 1000)


class RecordingBackend:
    """Records the servers called; a call to ``held`` waits for ``release``."""

    def __init__(self):
        self.urls = []
        self.held = None
        self.release = asyncio.Event()

    async def send(self, url, request, timeout_s):
        self.urls.append(url)
        if url == self.held:
            self.held = None
            await self.release.wait()
        return BackendResponse(200, "", b"done")


class PlainHarness:
    """A ``PlainPath`` with a fake backend and states of servers to set."""

    def __init__(self, server_ids):
        self.states_by_id = dict.fromkeys(server_ids, ServerState.LIVE)
        self.directory = SimpleNamespace(backend_states_by_id={})
        self.backend = RecordingBackend()
        self.ids = RequestIdGenerator("h", 1)
        clock = ManualClock()
        self.path = PlainPath(
            clock,
            self.backend,
            self.directory,
            None,
            random.Random(1),
            RequestObserver.from_clock(clock),
        )

    async def call(self):
        servers = {
            server_id: BackendServer(server_id, server_id, "orders", "fd", state, False)
            for server_id, state in self.states_by_id.items()
        }
        configuration = Configuration(
            1, 1, backend_servers_by_id=MappingProxyType(servers)
        )
        request = PlainRequest(
            self.ids.next_id(), "madafu", SERVICE, "POST", "x", b"", {}, None, 1000
        )
        return await self.path.run(configuration, request)


@given('backend servers "{first}" and "{second}"')
def create_servers(context, first, second):
    context.harness = PlainHarness([first, second])
    context.responses = []
    context.error = None


@given('the ticket says that "{server_id}" is "{state}"')
def set_ticket_state(context, server_id, state):
    context.harness.states_by_id[server_id] = ServerState(state)


@given('the host list says that "{server_id}" is "{state}"')
def set_listed_state(context, server_id, state):
    context.harness.directory.backend_states_by_id[server_id] = ServerState(state)


@given('a call is in progress at "{server_id}"')
def hold_call(context, server_id):
    context.held_server = server_id


@when('the host list says that "{server_id}" is leaving')
def leave_during_call(context, server_id):
    harness = context.harness

    async def scenario():
        harness.states_by_id = {context.held_server: ServerState.LIVE}
        harness.backend.held = context.held_server
        task = asyncio.create_task(harness.call())
        while not harness.backend.urls:
            await asyncio.sleep(0)
        harness.states_by_id = {"b1": ServerState.LIVE, "b2": ServerState.LIVE}
        harness.directory.backend_states_by_id[server_id] = ServerState.LEAVING
        context.further = [await harness.call() for _ in range(20)]
        harness.backend.release.set()
        context.held_response = await task

    asyncio.run(scenario())


@when("{count:d} calls are made")
def make_calls(context, count):
    async def scenario():
        for _ in range(count):
            context.responses.append(await context.harness.call())

    context.count = count
    try:
        asyncio.run(scenario())
    except RouterError as error:
        context.error = error


@then('"{server_id}" received {amount}')
def check_received(context, server_id, amount):
    received = server_id in context.harness.backend.urls
    assert received == (amount == "work"), context.harness.backend.urls


@then("every call received a response")
def check_responses(context):
    assert context.error is None
    assert len(context.responses) == context.count


@then("the call in progress receives its response")
def check_held_response(context):
    assert context.held_response.body == b"done"


@then('{count:d} further calls are sent only to "{server_id}"')
def check_further(context, count, server_id):
    assert context.harness.backend.urls[1:] == [server_id] * count


@then("the call is refused as not run")
def check_refusal(context):
    assert context.error.execution is Execution.NOT_RUN
