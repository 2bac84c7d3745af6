"""Sends a request of every kind for each account; checks the responses."""

import random

from rich.console import Console

from kumquat_core.http_client import create_session

from .arrivals import make_model_call, make_plain_call
from .caller import CallOutcome, call_model, call_plain
from .client_accounts import CLIENT_ACCOUNTS, ClientAccount
from .stack import Stack, StackConfig, running_stack

__all__ = ["run_demo"]


async def run_demo(config: StackConfig) -> bool:
    """Run the demonstration; return whether all responses were correct."""
    console = Console(soft_wrap=True, highlight=False)
    console.print("Starting platform, engines, backend servers and entry hosts.")
    async with running_stack(config) as stack:
        names = ", ".join(host.host_id for host in stack.plan.hosts)
        console.print(f"Ready: {names}")
        outcomes = []
        for account in CLIENT_ACCOUNTS:
            for outcome in await _send_requests(stack, account, config.seed):
                console.print(_format_outcome(account, outcome))
                outcomes.append(outcome)
    good = sum(outcome.kind == "ok" for outcome in outcomes)
    console.print(f"{good} of {len(outcomes)} answers whole and right")
    return good == len(outcomes)


async def _send_requests(
    stack: Stack, account: ClientAccount, seed: int
) -> list[CallOutcome]:
    rng = random.Random(f"{seed}/{account.name}")
    hosts = stack.plan.hosts_of(account)
    outcomes = []
    async with create_session(2.0) as session:
        for index, work in enumerate(account.work):
            url = hosts[index % len(hosts)].caller_url
            call = make_model_call(rng, account, work)
            outcomes.append(await call_model(session, url, call))
        for index in range(len(account.services)):
            url = hosts[index % len(hosts)].caller_url
            plain = make_plain_call(rng, account, index)
            outcomes.append(await call_plain(session, url, plain))
    return outcomes


def _format_outcome(account: ClientAccount, outcome: CallOutcome) -> str:
    parts = [
        f"{account.name:9}{outcome.class_name:13}",
        f"code {outcome.code:<5}",
        f"{outcome.kind:8}",
        f"first answer {outcome.ttft_ms:7.1f} ms",
    ]
    if outcome.tokens:
        engines = f"{outcome.prefill_engine} -> {outcome.decode_engine}"
        parts.append(f"between tokens {outcome.tbt_ms:5.1f} ms")
        parts.append(f"{outcome.tokens} tokens by {engines}")
    if outcome.detail:
        parts.append(outcome.detail)
    return "  ".join(parts)
