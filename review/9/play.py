"""A rolling restart while the store performs unanswered calls late."""

import asyncio
import signal
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standins2"))

from case import Case, run  # noqa: E402
from entry_host import EntryHost  # noqa: E402
from servers import PLAIN_SERVICE, Engine, PlainServer, configuration, route  # noqa: E402

HOST_TABLE = "relay_hosts"
# The store performs a call without an answer up to 6 s later.
LATE_S = 5.5
# How long the store loses answers.
LOST_S = 4.5
ROLL_GAP_S = 1.3
RESTART_DELAY_S = 0.2
GRACE_S = 8.0

TENANT, KEY = "school-1", "4f1c09ab"
REQUEST_TOKENS = 2000
RATE_PER_S = 20_000
BURST = 20_000
WINDOW_S = 8.0
OVERRUN = 0.1
SLACK = 120_000
# Requests of the tenant at each host, several times its quota.
PERIOD_S = 0.05
LOAD_S = 20.0
DEADLINE_MS = 3000


async def restart(case: Case, host: EntryHost, after_s: float) -> None:
    """Stop a process as the platform does, and start it again."""
    await asyncio.sleep(after_s)
    case.note(f"SIGTERM to {host.name}")
    host.send(signal.SIGTERM)
    status = await host.wait(GRACE_S)
    case.note(f"{host.name} has ended with status {status}")
    if status is None:
        await host.kill()
    await asyncio.sleep(RESTART_DELAY_S)
    await host.start()
    case.note(f"{host.name} is ready again")


async def load(case: Case, host: EntryHost, sent_s: dict[str, float]) -> None:
    """Send requests of one tenant to a host."""
    tasks = []
    for number in range(int(LOAD_S / PERIOD_S)):
        request_id = f"loan-{host.name}-{number}"
        sent_s[request_id] = asyncio.get_running_loop().time()
        tasks.append(
            asyncio.create_task(
                case.send(
                    host,
                    request_id,
                    "POST",
                    "/loan/1",
                    DEADLINE_MS,
                    {"X-Api-Key": KEY},
                    b"{}",
                )
            )
        )
        await asyncio.sleep(PERIOD_S)
    await asyncio.gather(*tasks)


def end_trouble(case: Case, writes_before: int) -> None:
    """Answer all calls again; note the number of writes meanwhile."""
    case.store.late_removals_s = None
    writes = case.store.writes - writes_before
    case.note(f"store: answers all calls again, after {writes} writes")


def most_tokens(runs: list[tuple[float, float]]) -> int:
    """Return the most tokens that were sent and ran within one window."""
    return max(
        (
            sum(
                begin_s <= sent_s and arrived_s < begin_s + WINDOW_S
                for sent_s, arrived_s in runs
            )
            * REQUEST_TOKENS
            for begin_s, _ in runs
        ),
        default=0,
    )


async def play(case: Case) -> bool:
    """Play the case; return whether the rule was broken."""
    servers = [PlainServer(f"i-s{n}", case.note) for n in range(1, 4)]
    engines = [Engine(f"i-e{n}", "decode", case.note) for n in range(1, 7)]
    document = configuration(
        [route("loan", PLAIN_SERVICE, "non_idempotent", target_latency_ms=310)]
    )
    document["tenants"] = [
        {
            "name": TENANT,
            "api_keys": [KEY],
            "unit": "tokens",
            "plain_tokens": REQUEST_TOKENS,
            "rate_per_s": RATE_PER_S,
            "burst": BURST,
        }
    ]
    quota = {"overrun_ratio": OVERRUN, "allowance": SLACK, "window_s": WINDOW_S}
    case.store.note = case.note
    await case.start([*servers, *engines], document, hosts=3, quota=quota)
    writes_before = case.store.writes
    if case.trouble:
        case.store.late_removals_s = LATE_S
        asyncio.get_running_loop().call_later(LOST_S, end_trouble, case, writes_before)
    await asyncio.gather(
        *(restart(case, host, n * ROLL_GAP_S) for n, host in enumerate(case.hosts))
    )
    # Everything calm for twice ``contact_ms`` after the last call is performed.
    await asyncio.sleep(LATE_S + 6.0)
    listed = sorted(key for table, key in case.store.rows if table == HOST_TABLE)
    case.note(f"hosts in the store: {listed}")
    sent_s: dict[str, float] = {}
    await asyncio.gather(*(load(case, host, sent_s) for host in case.hosts))
    runs = sorted(
        (sent_s[key], at_s)
        for server in servers
        for key, at_s in server.ran_s.items()
        if key in sent_s
    )
    most = most_tokens(runs)
    bound = (RATE_PER_S * WINDOW_S + BURST) * (1 + OVERRUN) + SLACK
    case.note(f"at most {most} tokens in {WINDOW_S:.0f} s, allowed {bound:.0f}")
    return most > bound


run(play, HERE / "record.txt")
