"""Injects random faults into the processes of a stack.

A seeded generator chooses the faults, their times and durations. The times in
which an entry host was stopped, killed or restarting are recorded, so that a
response that a fault interrupted is not counted as lost.
"""

import asyncio
import random
import signal
import time
from collections import Counter
from collections.abc import Callable, Collection, Coroutine
from dataclasses import dataclass, field
from typing import Any

from kumquat_core.http_client import TRANSPORT_ERRORS

from .client_accounts import CLIENT_ACCOUNTS, ClientAccount
from .stack import EntryHostPlan, Stack

__all__ = ["HostOutage", "FaultInjector"]

# A caller notices a closed connection within this time after a fault.
OUTAGE_MARGIN_S = 1.0
HOST_READY_LIMIT_S = 15.0
HOST_REMOVAL_DELAY_S = 2.0

# Hosts read the host list every 2 s, and the prefill of a request that was
# granted before may still start later.
LEAVING_GRACE_S = 4.0
LEAVING_WATCH_S = 2.0
READY_POLL_S = 0.1
STUTTER_S = 4.0
ENGINE_COMMAND = ("kumquat_lab", "engine", "--config")

# At most this many hosts of a client account are down at the same time, so
# that callers always find a host.
MAX_HOSTS_DOWN = 2


@dataclass
class HostOutage:
    """A period in which an entry host was stopped, killed or restarting."""

    host_id: str
    begin_s: float
    end_s: float = float("inf")


@dataclass
class FaultInjector:
    """Injects faults and removes them; counts them in ``counts_by_kind``.

    ``only_kinds`` names the kinds to inject; empty for all. The copies that
    stuttering servers wrote are counted there as well.
    """

    stack: Stack
    rng: random.Random
    only_kinds: Collection[str] = ()
    counts_by_kind: Counter[str] = field(default_factory=Counter)
    outages: list[HostOutage] = field(default_factory=list)
    work_for_leaving: int = 0
    _down_host_ids: set[str] = field(default_factory=set)
    _leaving_ids: set[str] = field(default_factory=set)
    _killed_host_ids: set[str] = field(default_factory=set)

    async def run(self, until_s: float, mean_pause_s: float) -> None:
        """Inject faults until a time, then wait until all are removed."""
        kinds: dict[str, Callable[[], Coroutine[Any, Any, None]]] = {
            "host_killed": self.kill_host,
            "host_stopped": self.stop_host,
            "owner_and_host_killed": self.kill_two_hosts,
            "engines_killed": self.kill_engines,
            "engine_slow": self.slow_down_engine,
            "engine_refuses": self.make_engine_refuse,
            "streams_broken": self.interrupt_streams,
            "transfer_stalled": self.stall_transfers,
            "prefills_failed": self.fail_prefills,
            "store_outage": self.start_store_outage,
            "store_slow": self.slow_down_store,
            "store_answers_lost": self.lose_store_responses,
            "host_list_wrong": self.publish_wrong_host_list,
            "server_leaving": self.mark_server_leaving,
            "engine_leaving": self.mark_engine_leaving,
            "backend_slow": self.slow_down_backend,
            "backend_answers_lost": self.lose_backend_responses,
            "backend_refuses": self.make_backend_refuse,
            "engines_stutter": self.make_engines_stutter,
            "backends_stutter": self.make_backends_stutter,
            "store_stutters": self.make_store_stutter,
        }
        if unknown := set(self.only_kinds) - set(kinds):
            raise ValueError(f"unknown faults: {sorted(unknown)}")
        async with asyncio.TaskGroup() as group:
            while time.monotonic() < until_s:
                kind = self.rng.choice(sorted(self.only_kinds or kinds))
                self.counts_by_kind[kind] += 1
                group.create_task(kinds[kind]())
                await asyncio.sleep(self.rng.expovariate(1 / mean_pause_s))

    def had_outage(self, host_id: str, begin_s: float, end_s: float) -> bool:
        """Tell whether a host had an outage between two times."""
        return any(
            item.host_id == host_id
            and item.begin_s <= end_s
            and begin_s <= item.end_s + OUTAGE_MARGIN_S
            for item in self.outages
        )

    def running_hosts(self, account: ClientAccount) -> list[EntryHostPlan]:
        """Return the hosts that a load balancer would use.

        It detects a killed host quickly, but not one that is only stopped.
        """
        hosts = self.stack.plan.hosts_of(account)
        return [
            host for host in hosts if host.host_id not in self._killed_host_ids
        ] or hosts

    async def kill_host(self) -> None:
        """Kill a host and restart it under the same id."""
        host = self._pick_host(self.rng.choice(CLIENT_ACCOUNTS))
        if host is not None:
            await self._kill(host, self.rng.choice((0.1, 0.9, 6.0)))

    async def kill_two_hosts(self) -> None:
        """Kill two hosts of a client account at the same time.

        One of them may own the shard that the other one uses.
        """
        account = self.rng.choice(CLIENT_ACCOUNTS)
        hosts = [
            host for _ in range(2) if (host := self._pick_host(account)) is not None
        ]
        await asyncio.gather(*(self._kill(host, 4.0) for host in hosts))

    async def stop_host(self) -> None:
        """Stop a host temporarily, as a suspended machine does."""
        host = self._pick_host(self.rng.choice(CLIENT_ACCOUNTS))
        if host is None:
            return
        outage = HostOutage(host.host_id, time.monotonic())
        self.outages.append(outage)
        child = self.stack.processes.children_by_name[host.host_id]
        child.send(signal.SIGSTOP)
        await asyncio.sleep(self.rng.uniform(0.3, 9.0))
        child.send(signal.SIGCONT)
        outage.end_s = time.monotonic()
        self._down_host_ids.discard(host.host_id)

    async def kill_engines(self) -> None:
        """Kill the engine process of a client account and restart it."""
        account = self.rng.choice(CLIENT_ACCOUNTS)
        name = f"{account.name}-engines"
        child = self.stack.processes.children_by_name[name]
        child.send(signal.SIGKILL)
        await child.process.wait()
        await asyncio.sleep(self.rng.uniform(0.1, 1.5))
        module, command, option = ENGINE_COMMAND
        path = str(self.stack.directory / f"{name}.json")
        await self.stack.processes.start(name, module, command, option, path)

    async def slow_down_engine(self) -> None:
        """Make one engine ten times slower for two seconds."""
        await self._inject_engine_fault({"slowdown": 10.0, "for_s": 2.0})

    async def interrupt_streams(self) -> None:
        """Interrupt all streams of one engine."""
        await self._inject_engine_fault({"break_streams": True})

    async def fail_prefills(self) -> None:
        """Make the next prefills of one engine fail."""
        await self._inject_engine_fault({"fail_prefills": 3})

    async def make_engine_refuse(self) -> None:
        """Make one engine refuse all requests for two seconds."""
        await self._inject_engine_fault({"refuse": True}, {"refuse": False}, 2.0)

    async def stall_transfers(self) -> None:
        """Stall the transfers of one engine for 1.5 seconds."""
        await self._inject_engine_fault(
            {"transfer_stall_s": 3.0}, {"transfer_stall_s": 0.0}, 1.5
        )

    async def start_store_outage(self) -> None:
        """Make the stores unavailable for up to five seconds."""
        outage_s = self.rng.uniform(0.5, 5.0)
        await self._set_faults(self.stack.plan.platform_url, {"outage_s": outage_s})

    async def slow_down_store(self) -> None:
        """Delay all calls of the stores for two seconds."""
        url = self.stack.plan.platform_url
        await self._set_faults(url, {"delay_ms": self.rng.choice((50, 300, 1500))})
        await asyncio.sleep(2.0)
        await self._set_faults(url, {"delay_ms": 0})

    async def lose_store_responses(self) -> None:
        """Lose the responses to the next writes after they took effect."""
        lost = self.rng.randint(1, 6)
        await self._set_faults(self.stack.plan.platform_url, {"lose_answers": lost})

    async def publish_wrong_host_list(self) -> None:
        """Omit a live host from the list temporarily, as a delay may."""
        excluded = self.rng.choice(self.stack.plan.hosts)
        await self._publish_hosts(excluded.host_id)
        await asyncio.sleep(self.rng.uniform(1.0, 4.0))
        await self._publish_hosts()

    async def mark_server_leaving(self) -> None:
        """Mark a backend server as leaving and count its later executions."""
        servers = self.stack.plan.servers
        services = Counter(server.service for server in servers)
        server = self.rng.choice([s for s in servers if services[s.service] > 1])
        url = f"http://127.0.0.1:{server.port}/executions"

        async def count_work() -> int:
            return sum((await self.stack.call("GET", url))["by_body"].values())

        await self._watch_leaving(server.server_id, count_work)

    async def mark_engine_leaving(self) -> None:
        """Mark an engine as leaving; count its later prefills and imports."""
        engine = self.rng.choice(self.stack.plan.engines)
        url = f"http://127.0.0.1:{engine.port}/counts"

        async def count_work() -> int:
            counts = await self.stack.call("GET", url)
            return int(counts["prefills"]) + int(counts["imports"])

        await self._watch_leaving(engine.engine_id, count_work)

    async def _watch_leaving(
        self, target_id: str, count_work: Callable[[], Coroutine[Any, Any, int]]
    ) -> None:
        """Count work that a leaving server or engine starts after a delay.

        Nothing is counted when an entry host had an outage, because a host
        that resumes after a pause has an old host list, or when the leaving
        server or engine did not respond.
        """
        begin_s = time.monotonic()
        self._leaving_ids.add(target_id)
        await self._publish_hosts()
        await asyncio.sleep(LEAVING_GRACE_S)
        try:
            before = await count_work()
            await asyncio.sleep(LEAVING_WATCH_S)
            after = await count_work()
        except TRANSPORT_ERRORS:
            before = after = 0
        end_s = time.monotonic()
        self._leaving_ids.discard(target_id)
        await self._publish_hosts()
        had_outages = any(
            self.had_outage(host.host_id, begin_s, end_s)
            for host in self.stack.plan.hosts
        )
        if after > before and not had_outages:
            self.work_for_leaving += after - before

    async def slow_down_backend(self) -> None:
        """Delay the executions of one backend server for two seconds."""
        await self._inject_backend_fault({"delay_ms": 2500}, {"delay_ms": 0})

    async def lose_backend_responses(self) -> None:
        """Lose the next responses of one backend server after execution."""
        await self._inject_backend_fault({"drop_answers": 3}, {})

    async def make_backend_refuse(self) -> None:
        """Make one backend server refuse all calls for two seconds."""
        await self._inject_backend_fault({"refuse": True}, {"refuse": False})

    async def make_engines_stutter(self) -> None:
        """Make all engines copy responses for some seconds."""
        ports = [engine.port for engine in self.stack.plan.engines]
        await self._make_stutter([f"http://127.0.0.1:{port}" for port in ports])

    async def make_backends_stutter(self) -> None:
        """Make all backend servers copy responses for some seconds."""
        ports = [server.port for server in self.stack.plan.servers]
        await self._make_stutter([f"http://127.0.0.1:{port}" for port in ports])

    async def make_store_stutter(self) -> None:
        """Make the platform copy responses for some seconds."""
        await self._make_stutter([self.stack.plan.platform_url])

    async def _make_stutter(self, urls: list[str]) -> None:
        fault = {"share": self.rng.choice((0.1, 0.5, 1.0))}
        for url in urls:
            await self._set_faults(url, {"stutter": fault})
        await asyncio.sleep(STUTTER_S)
        for url in urls:
            ended = await self._set_faults(url, {"stutter": {}})
            for name, count in ended.get("copies", {}).items():
                self.counts_by_kind[f"copies {name}"] += count

    def _pick_host(self, account: ClientAccount) -> EntryHostPlan | None:
        """Choose a running host, or return None if too many are down."""
        hosts = self.stack.plan.hosts_of(account)
        up = [host for host in hosts if host.host_id not in self._down_host_ids]
        if len(hosts) - len(up) >= MAX_HOSTS_DOWN:
            return None
        host = self.rng.choice(up)
        self._down_host_ids.add(host.host_id)
        return host

    async def _kill(self, host: EntryHostPlan, restart_after_s: float) -> None:
        outage = HostOutage(host.host_id, time.monotonic())
        self.outages.append(outage)
        child = self.stack.processes.children_by_name[host.host_id]
        child.send(signal.SIGKILL)
        self._killed_host_ids.add(host.host_id)
        await child.process.wait()
        await self._publish_removal_when_due(restart_after_s)
        await self.stack.start_host(host)
        await self._wait_until_ready(host)
        outage.end_s = time.monotonic()
        self._killed_host_ids.discard(host.host_id)
        await self._publish_hosts()
        self._down_host_ids.discard(host.host_id)

    async def _publish_removal_when_due(self, duration_s: float) -> None:
        """Wait; publish the list without killed hosts after its delay."""
        await asyncio.sleep(min(duration_s, HOST_REMOVAL_DELAY_S))
        if duration_s <= HOST_REMOVAL_DELAY_S:
            return
        await self._publish_hosts()
        await asyncio.sleep(duration_s - HOST_REMOVAL_DELAY_S)

    async def _publish_hosts(self, excluded: str = "") -> None:
        omitted = {*self._killed_host_ids, excluded}
        hosts = [h for h in self.stack.plan.hosts if h.host_id not in omitted]
        await self.stack.publish_hosts(hosts, self._leaving_ids)

    async def _wait_until_ready(self, host: EntryHostPlan) -> None:
        """Wait until a host is ready, which requires an available store."""
        limit_s = time.monotonic() + HOST_READY_LIMIT_S
        while time.monotonic() < limit_s:
            await asyncio.sleep(READY_POLL_S)
            try:
                async with self.stack.session.get(f"{host.admin_url}/readyz") as reply:
                    if reply.status == 200:
                        return
            except TRANSPORT_ERRORS:
                continue

    async def _inject_engine_fault(
        self,
        body: dict[str, Any],
        reset: dict[str, Any] | None = None,
        duration_s: float = 0.0,
    ) -> None:
        engine = self.rng.choice(self.stack.plan.engines)
        url = f"http://127.0.0.1:{engine.port}"
        await self._set_faults(url, body)
        if reset is not None:
            await asyncio.sleep(duration_s)
            await self._set_faults(url, reset)

    async def _inject_backend_fault(
        self, body: dict[str, Any], reset: dict[str, Any]
    ) -> None:
        server = self.rng.choice(self.stack.plan.servers)
        url = f"http://127.0.0.1:{server.port}"
        await self._set_faults(url, body)
        await asyncio.sleep(2.0)
        await self._set_faults(url, reset)

    async def _set_faults(self, url: str, body: dict[str, Any]) -> dict[str, Any]:
        """Change the faults of a process and return its response.

        The response is empty if the process is down.
        """
        try:
            answer = await self.stack.call("POST", f"{url}/faults", body)
        except TRANSPORT_ERRORS:
            return {}
        return dict(answer)
