"""One client account over its quota, and the check of what ran."""

import asyncio
from collections.abc import Sequence
from typing import Any

from case import Case
from entry_host import EntryHost
from servers import PLAIN_SERVICE, Backend, configuration, route

TENANT, KEY = "school-1", "4f1c09ab"
REQUEST_TOKENS = 2000
RATE_PER_S = 20_000
BURST = 20_000
WINDOW_S = 8.0
OVERRUN = 0.1
SLACK = 120_000
DEADLINE_MS = 3000
# Requests of all hosts together, six times the quota.
REQUESTS_PER_S = 60.0

HOST_QUOTA = {"overrun_ratio": OVERRUN, "allowance": SLACK, "window_s": WINDOW_S}


def quota_configuration() -> dict[str, Any]:
    """Return a configuration with one tenant, whose quota is in tokens."""
    loan = route("loan", PLAIN_SERVICE, "non_idempotent", target_latency_ms=310)
    tenant = {
        "name": TENANT,
        "api_keys": [KEY],
        "unit": "tokens",
        "plain_tokens": REQUEST_TOKENS,
        "rate_per_s": RATE_PER_S,
        "burst": BURST,
    }
    return {**configuration([loan]), "tenants": [tenant]}


async def load_all(case: Case, load_s: float) -> dict[str, float]:
    """Send requests of the tenant to all hosts; return when, by id."""
    sent_s: dict[str, float] = {}
    period_s = len(case.hosts) / REQUESTS_PER_S
    loads = (_load(case, host, load_s, period_s, sent_s) for host in case.hosts)
    await asyncio.gather(*loads)
    return sent_s


async def _load(
    case: Case,
    host: EntryHost,
    load_s: float,
    period_s: float,
    sent_s: dict[str, float],
) -> None:
    tasks = []
    for number in range(int(load_s / period_s)):
        request_id = f"loan-{host.name}-{number}"
        sent_s[request_id] = asyncio.get_running_loop().time()
        request = case.send(
            host,
            request_id,
            "POST",
            "/loan/1",
            DEADLINE_MS,
            {"X-Api-Key": KEY},
            b"{}",
        )
        tasks.append(asyncio.create_task(request))
        await asyncio.sleep(period_s)
    await asyncio.gather(*tasks)


def is_exceeded(
    case: Case, servers: Sequence[Backend], sent_s: dict[str, float]
) -> bool:
    """Tell whether more was sent and ran in some window than allowed."""
    runs = sorted(
        (sent_s[key], at_s)
        for server in servers
        for key, at_s in server.ran_s.items()
        if key in sent_s
    )
    most = max((_tokens_from(begin_s, runs) for begin_s, _ in runs), default=0)
    bound = (RATE_PER_S * WINDOW_S + BURST) * (1 + OVERRUN) + SLACK
    case.note(f"at most {most} tokens in {WINDOW_S:.0f} s, allowed {bound:.0f}")
    return most > bound


def _tokens_from(begin_s: float, runs: Sequence[tuple[float, float]]) -> int:
    """Return the tokens that were sent and ran in one window."""
    end_s = begin_s + WINDOW_S
    return REQUEST_TOKENS * sum(
        begin_s <= sent_s and ran_s < end_s for sent_s, ran_s in runs
    )
