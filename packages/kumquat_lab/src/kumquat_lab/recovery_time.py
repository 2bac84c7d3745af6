"""Measures the recovery time after the failure of an entry host.

``python -m kumquat_lab.recovery_time --seed 1`` repeatedly kills and stops
the owner of a shard, and kills an entry host with running streams. It prints
the time from the fault to the first token of the next request, and the time
until the engines have freed all memory of the dead host.
"""

import asyncio
import json
import random
import signal
import time
from typing import Annotated, Any

import aiohttp
import typer
import uvloop

from kumquat_core.http_client import create_session

from .arrivals import make_model_call
from .caller import CallOutcome, call_model
from .client_accounts import MADAFU
from .stack import EntryHostPlan, Stack, StackConfig, running_stack

__all__ = ["run_recovery_time"]

SHARD_ID = f"{MADAFU.pool}/0"
STREAMS = 6
POLL_S = 0.02
RELEASE_TIMEOUT_S = 30.0
RECOVERY_PAUSE_S = 3.0


class _RecoveryMeasurement:
    def __init__(self, stack: Stack, session: aiohttp.ClientSession, seed: int) -> None:
        self._stack = stack
        self._session = session
        self._rng = random.Random(f"recovery/{seed}")

    async def owner_death_s(self) -> float:
        """Kill the owner; return the TTFT of the next request in seconds."""
        owner = await self._find_owner()
        other = next(h for h in self._stack.plan.hosts_of(MADAFU) if h != owner)
        await self._kill(owner)
        outcome = await self._send_request(other)
        if outcome.kind != "ok":
            raise RuntimeError(f"request after the owner's death: {outcome}")
        await self._restart([owner])
        return outcome.ttft_ms / 1000

    async def owner_pause_s(self) -> float:
        """Stop the owner; return the TTFT of the next request in seconds."""
        owner = await self._find_owner()
        other = next(h for h in self._stack.plan.hosts_of(MADAFU) if h != owner)
        child = self._stack.processes.children_by_name[owner.host_id]
        child.send(signal.SIGSTOP)
        outcome = await self._send_request(other)
        child.send(signal.SIGCONT)
        if outcome.kind != "ok":
            raise RuntimeError(f"request while the owner is stopped: {outcome}")
        await asyncio.sleep(RECOVERY_PAUSE_S)
        return outcome.ttft_ms / 1000

    async def host_death_s(self, *, with_owner: bool) -> float:
        """Kill a host with streams; return the time to free its memory."""
        owner = await self._find_owner()
        hosts = self._stack.plan.hosts_of(MADAFU)
        host = next(h for h in hosts if h != owner)
        streams = [
            asyncio.create_task(self._send_request(host)) for _ in range(STREAMS)
        ]
        while len(await self._held_ids(host)) < STREAMS:
            await asyncio.sleep(POLL_S)
        began_s = time.monotonic()
        killed = [host, owner] if with_owner else [host]
        await asyncio.gather(*(self._kill(item) for item in killed))
        while await self._held_ids(host):
            if time.monotonic() - began_s > RELEASE_TIMEOUT_S:
                raise RuntimeError("engines still hold memory of a dead host")
            await asyncio.sleep(POLL_S)
        freed_s = time.monotonic() - began_s
        await asyncio.gather(*streams)
        await self._restart(killed)
        return freed_s

    async def _send_request(self, host: EntryHostPlan) -> CallOutcome:
        call = make_model_call(self._rng, MADAFU, MADAFU.work[0])
        return await call_model(self._session, host.caller_url, call)

    async def _find_owner(self) -> EntryHostPlan:
        host = self._stack.plan.hosts_of(MADAFU)[0]
        status = await self._stack.call("GET", f"{host.admin_url}/admin/status")
        owner_id = status["owners"][SHARD_ID]
        hosts = self._stack.plan.hosts_of(MADAFU)
        return next(item for item in hosts if item.host_id == owner_id)

    async def _held_ids(self, host: EntryHostPlan) -> list[str]:
        ids: list[str] = []
        for engine in self._stack.plan.engines_by_firm[MADAFU.name]:
            url = f"http://127.0.0.1:{engine.port}/v1/report?fresh=1"
            report = await self._stack.call("GET", url)
            ids += [item["request_id"] for item in report["requests"]]
        return [item for item in ids if item.startswith(f"{host.host_id}.")]

    async def _kill(self, host: EntryHostPlan) -> None:
        child = self._stack.processes.children_by_name[host.host_id]
        child.send(signal.SIGKILL)
        await child.process.wait()

    async def _restart(self, hosts: list[EntryHostPlan]) -> None:
        for host in hosts:
            await self._stack.start_host(host)
        for host in hosts:
            await self._stack.wait_until_ready(host)
        await asyncio.sleep(RECOVERY_PAUSE_S)


async def run_recovery_time(seed: int, repeats: int) -> dict[str, Any]:
    """Run a stack and return the recovery times of all repeats in seconds."""
    config = StackConfig(hosts_per_firm=5, decode_engines=3, seed=seed)
    async with running_stack(config) as stack, create_session(2.0) as session:
        measurement = _RecoveryMeasurement(stack, session, seed)
        owner = [await measurement.owner_death_s() for _ in range(repeats)]
        stopped = [await measurement.owner_pause_s() for _ in range(repeats)]
        host = [
            await measurement.host_death_s(with_owner=False) for _ in range(repeats)
        ]
        both = [await measurement.host_death_s(with_owner=True) for _ in range(repeats)]
    return {
        "seed": seed,
        "next_token_after_owner_death_s": [round(item, 2) for item in owner],
        "next_token_after_owner_freeze_s": [round(item, 2) for item in stopped],
        "freed_after_host_death_s": [round(item, 2) for item in host],
        "freed_after_host_and_owner_death_s": [round(item, 2) for item in both],
    }


def main(
    seed: Annotated[int, typer.Option(help="seed of the requests")] = 1,
    repeats: Annotated[int, typer.Option(min=1, max=8)] = 3,
) -> None:
    """Print the times until recovery as JSON."""
    typer.echo(json.dumps(uvloop.run(run_recovery_time(seed, repeats)), indent=2))


if __name__ == "__main__":
    typer.run(main)
