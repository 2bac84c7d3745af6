"""A rolling restart while the store performs unanswered calls late."""

import asyncio
import signal
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standins2"))

from case import Case, run  # noqa: E402
from entry_host import EntryHost  # noqa: E402
from quota import HOST_QUOTA, is_exceeded, load_all, quota_configuration  # noqa: E402
from servers import Engine, PlainServer  # noqa: E402

HOST_TABLE = "relay_hosts"
# The store performs a call without an answer up to 6 s later.
LATE_S = 5.5
# How long the store loses answers.
LOST_S = 4.5
ROLL_GAP_S = 1.3
RESTART_DELAY_S = 0.2
GRACE_S = 8.0
# Twice ``contact_ms`` after the last late call.
CALM_S = 6.0
LOAD_S = 20.0


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


def end_trouble(case: Case, writes_before: int) -> None:
    """Answer all calls again; note the number of writes meanwhile."""
    case.store.late_removals_s = None
    writes = case.store.writes - writes_before
    case.note(f"store: answers all calls again, after {writes} writes")


async def play(case: Case) -> bool:
    """Play the case; return whether the rule was broken."""
    servers = [PlainServer(f"i-s{n}", case.note) for n in range(1, 4)]
    engines = [Engine(f"i-e{n}", "decode", case.note) for n in range(1, 7)]
    case.store.note = case.note
    await case.start(
        [*servers, *engines], quota_configuration(), hosts=3, quota=HOST_QUOTA
    )
    writes_before = case.store.writes
    if case.trouble:
        case.store.late_removals_s = LATE_S
        asyncio.get_running_loop().call_later(LOST_S, end_trouble, case, writes_before)
    await asyncio.gather(
        *(restart(case, host, n * ROLL_GAP_S) for n, host in enumerate(case.hosts))
    )
    await asyncio.sleep(LATE_S + CALM_S)
    listed = sorted(key for table, key in case.store.rows if table == HOST_TABLE)
    case.note(f"hosts in the store: {listed}")
    sent_s = await load_all(case, LOAD_S)
    return is_exceeded(case, servers, sent_s)


run(play, HERE / "record.txt")
