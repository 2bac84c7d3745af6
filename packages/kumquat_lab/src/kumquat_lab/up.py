"""Runs a stack until interrupted and prints example commands."""

import asyncio

import typer

from .client_accounts import CLIENT_ACCOUNTS, ClientAccount
from .stack import Stack, StackConfig, running_stack

__all__ = ["run_up"]


async def run_up(config: StackConfig) -> None:
    """Run the stack until this task is cancelled."""
    async with running_stack(config) as stack:
        for line in _usage_lines(stack):
            typer.echo(line)
        await asyncio.Event().wait()


def _usage_lines(stack: Stack) -> list[str]:
    lines = [f"platform  {stack.plan.platform_url}"]
    for host in stack.plan.hosts:
        lines.append(f"{host.host_id}  {host.caller_url}  admin {host.admin_url}")
    lines += [f"{e.engine_id}  http://127.0.0.1:{e.port}" for e in stack.plan.engines]
    lines += [f"{s.server_id}  http://127.0.0.1:{s.port}" for s in stack.plan.servers]
    for account in CLIENT_ACCOUNTS:
        lines += _curl_commands(account, stack.plan.hosts_of(account)[0].caller_url)
    lines.append("Ctrl-C stops all processes.")
    return lines


def _curl_commands(account: ClientAccount, url: str) -> list[str]:
    key = f"-H 'Authorization: Bearer {account.api_key}'"
    lines = []
    for work in account.work:
        body = (
            f'{{"model": "{account.model}", "prompt": "what is due today", '
            f'"max_tokens": 20, "stream": true}}'
        )
        lines.append(
            f"curl -N {key} -H 'X-Request-Class: {work.class_name}' "
            f"-d '{body}' {url}/v1/completions"
        )
    for service in account.services:
        lines.append(
            f"curl -i {key} -H 'Idempotency-Key: {service.class_name}-1' "
            f"-d '{{\"order\": 1}}' {url}/services/{service.name}/{service.class_name}"
        )
    return lines
