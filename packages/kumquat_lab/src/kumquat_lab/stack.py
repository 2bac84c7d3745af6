"""Runs the complete system as processes on loopback.

Starts the platform, the engines and backend servers of both client accounts
and the entry hosts, writes settings and initial tickets, and waits until
every entry host is ready and lists all others of its region as live.
"""

import asyncio
import contextlib
import json
import tempfile
from collections.abc import AsyncIterator, Collection
from dataclasses import dataclass, field
from pathlib import Path
from typing import Annotated, Any, Literal

import aiohttp
from pydantic import BaseModel, ConfigDict, Field

from kumquat_core.http_client import TRANSPORT_ERRORS, create_session
from kumquat_core.table_client import HttpTableClient, Write
from kumquat_core.ticket_log import ticket_index_document, ticket_key
from kumquat_core.tickets import Ticket

from .backend_server import BackendConfig, BackendHostConfig
from .client_accounts import (
    CLIENT_ACCOUNTS,
    ClientAccount,
    EngineCounts,
    backend_configs,
    engine_configs,
    initial_ticket,
)
from .cost_model import EngineConfig, EngineHostConfig
from .platform import PlatformConfig
from .processes import ChildProcess, ProcessGroup, reserve_ports

__all__ = [
    "EntryHostPlan",
    "Stack",
    "StackConfig",
    "StackPlan",
    "running_stack",
    "with_policy",
]

READY_TIMEOUT_S = 30.0
READY_POLL_S = 0.1
PEER_KEY = "development-peer-key-0123456789abcdef"
PORTS_PER_STACK = 127
LAB_MODULE = "kumquat_lab"
ROUTER_MODULE = "kumquatrouter.main"


class StackConfig(BaseModel):
    """Size and settings of a stack; the format of ``up --config``."""

    model_config = ConfigDict(extra="forbid", frozen=True)

    hosts_per_firm: Annotated[int, Field(gt=0, le=9)] = 3
    prefill_engines: Annotated[int, Field(gt=0, le=16)] = 1
    decode_engines: Annotated[int, Field(gt=0, le=16)] = 2
    policy: Literal["kumquat", "round_robin", "least_reported_load", "two_choices"] = (
        "kumquat"
    )
    disabled_rules: tuple[str, ...] = ()
    seed: int = 1
    log_level: Literal["debug", "info", "warning", "error"] = "warning"
    first_port: Annotated[int, Field(ge=0, le=65000)] = 0
    engine_changes: dict[str, float] = Field(default_factory=dict)
    tbt_target_ms: Annotated[int, Field(ge=0)] = 0
    host_limits: dict[str, float] = Field(default_factory=dict)


@dataclass(frozen=True)
class EntryHostPlan:
    """Identity, location and ports of an entry host."""

    host_id: str
    account: str
    failure_domain: str
    region: str
    caller_port: int
    admin_port: int
    peer_port: int

    @property
    def caller_url(self) -> str:
        """Return the base URL for callers."""
        return f"http://127.0.0.1:{self.caller_port}"

    @property
    def admin_url(self) -> str:
        """Return the base URL of the admin interface."""
        return f"http://127.0.0.1:{self.admin_port}"


@dataclass(frozen=True)
class StackPlan:
    """Ports and settings of all processes of a stack."""

    config: StackConfig
    platform_port: int
    engines_by_firm: dict[str, list[EngineConfig]]
    servers_by_firm: dict[str, list[BackendConfig]]
    hosts: list[EntryHostPlan]

    @property
    def platform_url(self) -> str:
        """Return the base URL of the platform."""
        return f"http://127.0.0.1:{self.platform_port}"

    @property
    def engines(self) -> list[EngineConfig]:
        """Return the engines of both client accounts."""
        return [item for engines in self.engines_by_firm.values() for item in engines]

    @property
    def servers(self) -> list[BackendConfig]:
        """Return the backend servers of both client accounts."""
        return [item for servers in self.servers_by_firm.values() for item in servers]

    def hosts_of(self, account: ClientAccount) -> list[EntryHostPlan]:
        """Return the entry hosts of a client account."""
        return [host for host in self.hosts if host.account == account.name]

    @classmethod
    def from_config(cls, config: StackConfig) -> "StackPlan":
        """Return a plan on reserved ports, or on ports from ``first_port``."""
        if config.first_port:
            ports = list(range(config.first_port, config.first_port + PORTS_PER_STACK))
        else:
            ports = reserve_ports(PORTS_PER_STACK)
        ports.reverse()
        counts = EngineCounts(
            config.prefill_engines, config.decode_engines, config.engine_changes
        )
        hosts = [
            _host_plan(account, index, ports)
            for account in CLIENT_ACCOUNTS
            for index in range(config.hosts_per_firm)
        ]
        platform_port = ports.pop()
        weights = f"http://127.0.0.1:{platform_port}"
        engines = {
            account.name: engine_configs(account, counts, ports, weights)
            for account in CLIENT_ACCOUNTS
        }
        servers = {
            account.name: backend_configs(account, ports) for account in CLIENT_ACCOUNTS
        }
        return cls(config, platform_port, engines, servers, hosts)


def _host_plan(account: ClientAccount, index: int, ports: list[int]) -> EntryHostPlan:
    return EntryHostPlan(
        host_id=f"{account.name}-host-{index}",
        account=account.name,
        failure_domain=account.failure_domains[index % len(account.failure_domains)],
        region=account.region,
        caller_port=ports.pop(),
        admin_port=ports.pop(),
        peer_port=ports.pop(),
    )


@dataclass
class Stack:
    """A running stack."""

    plan: StackPlan
    directory: Path
    processes: ProcessGroup
    session: aiohttp.ClientSession
    settings_by_host_id: dict[str, Path] = field(default_factory=dict)

    async def start(self) -> None:
        """Start all processes and wait until they are ready."""
        async with asyncio.timeout(READY_TIMEOUT_S):
            await self._start_back_ends()
            await self._wait_for_back_ends()
            await self._write_tickets()
            await self.publish_hosts(self.plan.hosts)
            for host in self.plan.hosts:
                await self.start_host(host)
            await asyncio.gather(*(self.wait_until_ready(h) for h in self.plan.hosts))

    async def start_host(self, host: EntryHostPlan) -> ChildProcess:
        """Write the settings of an entry host and start or restart it."""
        path = self.directory / f"{host.host_id}.json"
        path.write_text(json.dumps(self._settings(host), indent=2))
        self.settings_by_host_id[host.host_id] = path
        return await self.processes.start(
            host.host_id, ROUTER_MODULE, "run", "--settings", str(path)
        )

    async def publish_hosts(
        self, hosts: list[EntryHostPlan], leaving: Collection[str] = ()
    ) -> None:
        """Replace the platform's host list, with immediate effect.

        ``leaving`` holds the ids of leaving backend servers and engines.
        """
        back_end_ids = [server.server_id for server in self.plan.servers]
        back_end_ids += [engine.engine_id for engine in self.plan.engines]
        body = {
            "lag_s": 0,
            "hosts": [
                {
                    "host_id": host.host_id,
                    "address": "127.0.0.1",
                    "peer_port": host.peer_port,
                    "failure_domain": host.failure_domain,
                    "region": host.region,
                    "state": "live",
                }
                for host in hosts
            ],
            "backend_servers": [
                {"id": item, "state": "leaving" if item in leaving else "live"}
                for item in back_end_ids
            ],
        }
        await self.call("PUT", f"{self.plan.platform_url}/hosts", body)

    async def call(self, method: str, url: str, body: Any = None) -> Any:
        """Call a process of the stack and return its JSON response."""
        async with self.session.request(method, url, json=body) as response:
            return await response.json(content_type=None)

    async def _start_back_ends(self) -> None:
        platform = PlatformConfig(port=self.plan.platform_port)
        await self._start_lab("platform", "platform", platform)
        for account, engines in self.plan.engines_by_firm.items():
            host = EngineHostConfig(engines=tuple(engines), seed=self.plan.config.seed)
            await self._start_lab(f"{account}-engines", "engine", host)
        servers = BackendHostConfig(servers=tuple(self.plan.servers))
        await self._start_lab("backend-servers", "backend", servers)

    async def _start_lab(self, name: str, command: str, config: BaseModel) -> None:
        path = self.directory / f"{name}.json"
        path.write_text(config.model_dump_json(indent=2))
        await self.processes.start(name, LAB_MODULE, command, "--config", str(path))

    async def _wait_for_back_ends(self) -> None:
        urls = [f"{self.plan.platform_url}/hosts"]
        urls += [f"http://127.0.0.1:{e.port}/v1/report" for e in self.plan.engines]
        urls += [f"http://127.0.0.1:{s.port}/executions" for s in self.plan.servers]
        await asyncio.gather(*(self._wait_until_available(url) for url in urls))

    async def _wait_until_available(self, url: str) -> None:
        while not await self._is_available(url):
            await asyncio.sleep(READY_POLL_S)

    async def wait_until_ready(self, host: EntryHostPlan) -> None:
        """Wait until a host is ready and lists all of its region as live."""
        await self._wait_until_available(f"{host.admin_url}/readyz")
        expected = {h.host_id for h in self.plan.hosts if h.region == host.region}
        while True:
            status = await self.call("GET", f"{host.admin_url}/admin/status")
            if expected <= set(status["live_hosts"]):
                return
            await asyncio.sleep(READY_POLL_S)

    async def _is_available(self, url: str) -> bool:
        self._check_processes()
        try:
            async with self.session.get(url) as response:
                return response.status == 200
        except TRANSPORT_ERRORS:
            return False

    def _check_processes(self) -> None:
        """Raise an error with the log's end if a process has exited."""
        for child in self.processes.exited_children():
            tail = child.log_path.read_text()[-2000:]
            raise RuntimeError(
                f"{child.name} exited during the start of the stack:\n{tail}"
            )

    async def _write_tickets(self) -> None:
        table = HttpTableClient(self.session, self.plan.platform_url, 5.0)
        writes = []
        for position, account in enumerate(CLIENT_ACCOUNTS, start=1):
            model = initial_ticket(
                account,
                position,
                self.plan.engines_by_firm[account.name],
                self.plan.servers_by_firm[account.name],
                self.plan.config.tbt_target_ms,
            )
            ticket = Ticket(position, model)
            key = ticket_key(position)
            writes.append(Write("ticket_log", key, 0, ticket.to_document()))
            writes.append(Write("tickets", key, 0, ticket_index_document(ticket)))
        writes.append(
            Write("ticket_head", "head", 0, {"position": len(CLIENT_ACCOUNTS)})
        )
        result = await table.transact(writes)
        if not result.committed:
            raise RuntimeError("the table service refused the initial tickets")

    def _settings(self, host: EntryHostPlan) -> dict[str, Any]:
        (self.directory / "peer.key").write_text(PEER_KEY)
        url = self.plan.platform_url
        return {
            "host_id": host.host_id,
            "region": host.region,
            "failure_domain": host.failure_domain,
            "caller_listen": {"port": host.caller_port},
            "admin_listen": {"port": host.admin_port},
            "peer_listen": {"port": host.peer_port},
            "platform": {
                "table_service_url": url,
                "object_store_url": url,
                "host_list_url": url,
                "weight_store_url": url,
            },
            "peer_key_file": "peer.key",
            "policy": self.plan.config.policy,
            "disabled_rules": self.plan.config.disabled_rules,
            "log_level": self.plan.config.log_level,
            "seed": self.plan.config.seed,
            "limits": self.plan.config.host_limits,
        }


@contextlib.asynccontextmanager
async def running_stack(config: StackConfig) -> AsyncIterator[Stack]:
    """Run a stack within a context and stop its processes at the end."""
    with tempfile.TemporaryDirectory(prefix="kumquat-lab-") as name:
        directory = Path(name)
        processes = ProcessGroup(directory)
        async with create_session(2.0) as session:
            plan = StackPlan.from_config(config)
            stack = Stack(plan, directory, processes, session)
            try:
                await stack.start()
                yield stack
            finally:
                await processes.stop()


def with_policy(config: StackConfig, policy: str) -> StackConfig:
    """Return a configuration with another routing policy.

    ``kumquat-RULE`` is the ``kumquat`` policy with that rule disabled.
    """
    name, *disabled_rules = policy.split("-")
    changes = {"policy": name, "disabled_rules": disabled_rules}
    return StackConfig.model_validate(config.model_dump() | changes)
